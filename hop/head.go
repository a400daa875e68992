package hop

import (
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// InvalidHeadError reports a response whose head is not valid HTTP/1.x. Nothing of such a response can be relied on: neither
// its status nor where its body ends.
type InvalidHeadError struct {
	// Part names the part of the head that is not valid.
	Part string
	// Value is that part.
	Value string
}

// maxQuotedLength is the number of characters of a value that an error message quotes. A head may be as long as its limit.
const maxQuotedLength = 80

// Error names the part and quotes the beginning of its value.
func (e *InvalidHeadError) Error() string {
	return fmt.Sprintf("invalid response head: %s %.*q", e.Part, maxQuotedLength, e.Value)
}

const (
	// minStatus and maxStatus are the least and the greatest status code (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
)

// checkHead checks the parts of a response head that net/http does not check. The error is an *InvalidHeadError.
func checkHead(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return &InvalidHeadError{Part: "protocol version", Value: resp.Proto}
	case resp.StatusCode < minStatus, resp.StatusCode > maxStatus, strings.ContainsFunc(resp.Status, isControl):
		return &InvalidHeadError{Part: "status", Value: resp.Status}
	default:
		return checkFields(resp.Header)
	}
}

// checkFields checks the names of header fields. net/http accepts a space in a name, and checks the values. The error is an
// *InvalidHeadError.
func checkFields(header map[string][]string) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &InvalidHeadError{Part: "header field", Value: name}
		}
	}
	return nil
}

// isControl reports whether a character is a control character that no part of a head may contain. A tab may stand between
// words.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == '\x7f' }
