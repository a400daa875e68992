package entry

import (
	"net/http"
	"strings"
)

// requestsUpgrade reports whether a request asks to switch to a protocol other
// than HTTP. Such requests are refused, since after a switch there are no HTTP
// responses that could be matched to calls. An offer to switch to HTTP/2 (h2c) is
// ignored, as RFC 9110 allows.
func requestsUpgrade(r *http.Request) bool {
	for _, line := range r.Header["Upgrade"] {
		for protocol := range strings.SplitSeq(line, ",") {
			if !strings.EqualFold(strings.TrimSpace(protocol), "h2c") {
				return true
			}
		}
	}
	return false
}
