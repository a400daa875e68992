package daemon

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/member"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/membership"
	"github.com/dottereltiller/dottereltiller/strictjson"
)

// Announcement is the body of the request with which an upstream registers at the
// daemon of its VM, and later renews or changes its registration.
type Announcement struct {
	Service model.ServiceName `json:"service"`
	// Address is the host:port of the upstream.
	Address string `json:"address"`
	// Slots is the number of requests that the upstream can run concurrently.
	Slots int `json:"slots"`
	// Incarnation is at least 1 and increases with each start of the upstream.
	Incarnation model.Incarnation `json:"incarnation"`
	Labels      model.Labels      `json:"labels,omitempty"`
	// Draining is true if the upstream is to get no new requests.
	Draining bool `json:"draining,omitempty"`
	// LoadPath is the URL path at Address from which the guard polls the upstream's
	// load report. The report is a JSON object whose field "running" is the number
	// of running requests. An empty LoadPath means that the upstream has no load
	// report.
	LoadPath string `json:"load_path,omitempty"`
	// Lease is how long the announcement is valid. To stay registered, the upstream
	// must repeat the announcement within that time. Zero means that the
	// announcement does not expire.
	Lease policy.Duration `json:"lease,omitempty"`
}

const (
	// maxAnnouncementBytes bounds the body of an announcement. Larger bodies are refused.
	maxAnnouncementBytes = 16 << 10
	maxSlots             = 1 << 16
	// minLease and maxLease bound Announcement.Lease unless it is zero.
	minLease = time.Second
	maxLease = time.Hour
	// maxLocalUpstreams bounds the number of upstreams on one VM.
	maxLocalUpstreams = 64
)

// parseAnnouncement parses and checks an announcement. Its errors are of type
// *strictjson.FieldError.
func parseAnnouncement(data []byte) (Announcement, error) {
	var a Announcement
	if err := strictjson.Unmarshal(data, &a); err != nil {
		return a, err
	}
	switch {
	case a.Service == "":
		return a, &strictjson.FieldError{Path: "service", Value: `""`, Message: "must be set"}
	case !isHostPort(a.Address):
		return a, &strictjson.FieldError{
			Path: "address", Value: strconv.Quote(a.Address), Message: "want host:port with an IP address as host",
		}
	case a.Slots < 1 || a.Slots > maxSlots:
		return a, &strictjson.FieldError{
			Path: "slots", Value: strconv.Itoa(a.Slots), Message: "must be from 1 to " + strconv.Itoa(maxSlots),
		}
	case a.LoadPath != "" && !strings.HasPrefix(a.LoadPath, "/"):
		return a, &strictjson.FieldError{
			Path: "load_path", Value: strconv.Quote(a.LoadPath), Message: "want a path that begins with /",
		}
	case a.Lease != 0 && (time.Duration(a.Lease) < minLease || time.Duration(a.Lease) > maxLease):
		return a, &strictjson.FieldError{
			Path: "lease", Value: strconv.Quote(time.Duration(a.Lease).String()),
			Message: "must be from " + minLease.String() + " to " + maxLease.String(),
		}
	case a.Incarnation == 0:
		return a, &strictjson.FieldError{
			Path: "incarnation", Value: "0", Message: "must be at least 1 and increase with each start of the upstream",
		}
	}
	return a, nil
}

// isHostPort reports whether s has the form host:port, with an IP address as host and a
// port other than 0.
func isHostPort(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// requireSameVM returns a handler that passes requests from this VM to next. It responds
// 403 to requests from other hosts and counts them. The admin address has no
// authentication, so changes are allowed only from this VM. Upstreams can still announce
// themselves, since they run on the same VM as their daemon.
func (d *Daemon) requireSameVM(next http.Handler) http.Handler {
	refusedCounter := d.scope("admin").Tagged(map[string]string{"reason": "not-this-vm"}).Counter("refused")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isFromThisVM(r) {
			refusedCounter.Inc(1)
			http.Error(w, "this address is read-only except for requests from this VM", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// isFromThisVM reports whether a request was sent from this VM. That is the case if the
// sender's IP address is a loopback address or the local address of the connection. The
// result is false if the sender's address cannot be parsed.
func isFromThisVM(r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return false
	}
	local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	return ip.IsLoopback() || ok && ip.Equal(local.IP)
}

// handleAnnouncement registers an upstream of this VM or renews its registration. It
// refuses an announcement that cannot be read, is too large or is invalid. It also refuses
// a new upstream if maxLocalUpstreams upstreams are registered.
func (d *Daemon) handleAnnouncement(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		d.refuseAnnouncement(w, reasonUnreadable, http.StatusBadRequest, err)
		return
	}
	a, err := parseAnnouncement(data)
	if err != nil {
		d.refuseAnnouncement(w, reasonInvalid, http.StatusBadRequest, err)
		return
	}
	id := model.UpstreamID(chi.URLParam(r, "id"))
	loads := d.Guard.Loads("")
	if _, attached := loads[id]; !attached && len(loads) >= maxLocalUpstreams {
		d.refuseAnnouncement(w, reasonTooMany, http.StatusTooManyRequests,
			&strictjson.FieldError{Path: "id", Value: string(id), Message: "too many upstreams on this VM"})
		return
	}
	d.scope("announcements").Counter("accepted").Inc(1)
	d.applyAnnouncement(id, a)
	w.WriteHeader(http.StatusNoContent)
}

// Values of the label "reason" on the counter of refused announcements.
const (
	reasonUnreadable = "unreadable"
	reasonInvalid    = "invalid"
	reasonTooMany    = "too-many"
)

// refusedAnnouncementsCounter returns the counter of the announcements that were refused
// for the given reason.
func (d *Daemon) refusedAnnouncementsCounter(reason string) tally.Counter {
	return d.scope("announcements").Tagged(map[string]string{"reason": reason}).Counter("refused")
}

// refuseAnnouncement counts a refused announcement and responds with the given HTTP status
// and the text of err.
func (d *Daemon) refuseAnnouncement(w http.ResponseWriter, reason string, status int, err error) {
	d.refusedAnnouncementsCounter(reason).Inc(1)
	http.Error(w, err.Error(), status)
}

// drainUpstream is called when a response of an upstream of this VM states that the upstream is about to leave.
// The guard rejects the calls that wait for the upstream and all further calls, and the other daemons are told, as if
// the upstream had announced it. Its later announcements change nothing.
func (d *Daemon) drainUpstream(up model.Upstream) {
	d.Guard.Drain(up.ID)
	d.Members.Drain(up)
}

// applyAnnouncement registers the upstream of a valid announcement at the guard and in the
// membership view. If the upstream is draining, the guard rejects the calls that wait for
// the upstream and all further calls to it.
func (d *Daemon) applyAnnouncement(id model.UpstreamID, a Announcement) {
	up := model.Upstream{
		ID:          id,
		Service:     a.Service,
		Incarnation: a.Incarnation,
		Zone:        d.settings.Zone,
		Daemon:      d.ID(),
		Slots:       a.Slots,
		Labels:      a.Labels,
	}
	d.Guard.Attach(membership.LocalUpstream{Upstream: up, Address: a.Address, LoadPath: a.LoadPath})
	state := member.Joined
	if a.Draining {
		state = member.Draining
		d.Guard.Drain(up.ID)
	}
	d.Members.Announce(member.Event{Upstream: up, State: state}, time.Duration(a.Lease))
}
