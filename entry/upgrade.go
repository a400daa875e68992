package entry

import (
	"net/http"
	"strings"
)

// asksForUpgrade reports whether a request wants another protocol than HTTP.
// Such requests are refused: a connection that leaves HTTP has no answers to
// bind to calls. An offer of HTTP/2 is passed over, as RFC 9110 allows.
func requestsUpgrade(r *http.Request) bool {
	for _, line := range r.Header["Upgrade"] {
		for name := range strings.SplitSeq(line, ",") {
			if !strings.EqualFold(strings.TrimSpace(name), "h2c") {
				return true
			}
		}
	}
	return false
}
