package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	core "github.com/dottereltiller/dottereltiller/core/quarantine"
	"github.com/dottereltiller/dottereltiller/hop"
	"github.com/dottereltiller/dottereltiller/quarantine"
)

const (
	quarantinePath = "/v1/quarantine"
	// maxAdminResponseBytes is the maximum length of a response body in bytes. Longer bodies are cut
	// off.
	maxAdminResponseBytes = 4 << 20
)

// ListQuarantined returns the requests that a daemon lists in its quarantine: those suspected of
// crashing upstreams, those refused because they crash upstreams, and those cleared of the suspicion.
// admin is the admin address of the daemon.
func ListQuarantined(ctx context.Context, admin string) ([]quarantine.ListedRecord, error) {
	body, err := callAdmin(ctx, http.MethodGet, "http://"+admin+quarantinePath)
	if err != nil {
		return nil, err
	}
	var records []quarantine.ListedRecord
	if err := json.Unmarshal(body, &records); err != nil {
		return nil, fmt.Errorf("daemon %s: %w", admin, err)
	}
	return records, nil
}

// ReleaseQuarantined removes the request with fingerprint f from the quarantine. It calls the daemon
// at the address admin, which relays the release to the other daemons. A daemon accepts
// this call only from its own VM.
func ReleaseQuarantined(ctx context.Context, admin string, f core.Fingerprint) error {
	_, err := callAdmin(ctx, http.MethodDelete, "http://"+admin+quarantinePath+"/"+f.String())
	return err
}

// AdminError is an error response of a daemon's admin interface.
type AdminError struct {
	Status  int
	Message string
}

// Error names the status and the message.
func (e *AdminError) Error() string {
	return fmt.Sprintf("daemon responded with status %d: %s", e.Status, e.Message)
}

// callAdmin sends a request to a daemon's admin interface and returns the response body. If the
// status is 400 or above, it returns an *AdminError.
func callAdmin(ctx context.Context, method, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: hop.NewTransport(&http.Transport{Proxy: nil, DisableKeepAlives: true})}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminResponseBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, &AdminError{Status: resp.StatusCode, Message: strings.TrimSpace(string(body))}
	}
	return body, nil
}

// WriteQuarantined prints a table of the given records. Each row shows a request that is suspected,
// refused or cleared. The column "deaths" is the number of crashes recorded for the request. The
// column "until" is the end of the quarantine. It is "-" if the request is not refused.
func WriteQuarantined(w io.Writer, records []quarantine.ListedRecord) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "fingerprint\tstate\tservice\tcaller\tdeaths\tuntil\trequest")
	for _, r := range records {
		state, until := "suspected", "-"
		switch {
		case r.Refused:
			state, until = "refused", time.UnixMilli(r.Until).UTC().Format(time.RFC3339)
		case len(r.Crashes) == 0:
			state = "cleared"
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", r.Fingerprint, state, r.Service, callerLabel(r.Caller), len(r.Crashes), until, r.Request)
	}
	_ = t.Flush()
}
