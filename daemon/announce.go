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

// Announcement is what an upstream tells the daemon of its VM.
type Announcement struct {
	Service     model.ServiceName `json:"service"`
	Address     string            `json:"address"`
	Slots       int               `json:"slots"`
	Incarnation model.Incarnation `json:"incarnation"`
	Labels      model.Labels      `json:"labels,omitempty"`
	Draining    bool              `json:"draining,omitempty"`
	// LoadPath is the path at Address of the upstream's load report, an object
	// with the number of requests "running". Empty: none.
	LoadPath string `json:"load_path,omitempty"`
	// Lease is how long the announcement holds unless it is made again. Zero
	// means until the upstream says otherwise.
	Lease policy.Duration `json:"lease,omitempty"`
}

const (
	maxAnnouncement = 16 << 10
	maxSlots        = 1 << 16
	minLease        = time.Second
	maxLease        = time.Hour
	// maxLocalUpstreams bounds the upstreams of one VM.
	maxLocalUpstreams = 64
)

// parseAnnouncement reads an announcement. Its errors are of type
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
			Path: "address", Value: strconv.Quote(a.Address), Message: "want host:port with the host an IP number",
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
			Path: "incarnation", Value: "0", Message: "must be larger than in the upstream's last life, at least 1",
		}
	}
	return a, nil
}

func isHostPort(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// onlyThisVM refuses requests from other hosts: the address has no
// authentication, so that off the VM it is read-only. An upstream announces
// itself to the daemon beside it.
func (d *Daemon) onlyThisVM(next http.Handler) http.Handler {
	refused := d.scope("admin").Tagged(map[string]string{"reason": "not-this-vm"}).Counter("refused")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !sameHost(r) {
			refused.Inc(1)
			http.Error(w, "only from this VM: this address is read-only for others", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// sameHost reports whether a request came over loopback or from the address it
// was sent to.
func sameHost(r *http.Request) bool {
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

func (d *Daemon) announce(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	if err != nil {
		d.refuseAnnouncement(w, refusedUnreadable, http.StatusBadRequest, err)
		return
	}
	a, err := parseAnnouncement(data)
	if err != nil {
		d.refuseAnnouncement(w, refusedInvalid, http.StatusBadRequest, err)
		return
	}
	id := model.UpstreamID(chi.URLParam(r, "id"))
	loads := d.Guard.Loads("")
	if _, known := loads[id]; !known && len(loads) >= maxLocalUpstreams {
		d.refuseAnnouncement(w, refusedTooMany, http.StatusTooManyRequests,
			&strictjson.FieldError{Path: "id", Value: string(id), Message: "too many upstreams on this VM"})
		return
	}
	d.scope("announcements").Counter("accepted").Inc(1)
	d.takeIn(id, a)
	w.WriteHeader(http.StatusNoContent)
}

// Reasons for refusing an announcement.
const (
	refusedUnreadable = "unreadable"
	refusedInvalid    = "invalid"
	refusedTooMany    = "too-many"
)

// refusedAnnouncements returns the counter of a reason.
func (d *Daemon) refusedAnnouncements(reason string) tally.Counter {
	return d.scope("announcements").Tagged(map[string]string{"reason": reason}).Counter("refused")
}

func (d *Daemon) refuseAnnouncement(w http.ResponseWriter, reason string, status int, err error) {
	d.refusedAnnouncements(reason).Inc(1)
	http.Error(w, err.Error(), status)
}

// takeIn hands a valid announcement to the guard and to the membership view.
func (d *Daemon) takeIn(id model.UpstreamID, a Announcement) {
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
