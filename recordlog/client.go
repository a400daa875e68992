package recordlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dottereltiller/dottereltiller/hop"
)

// Client accesses the log over HTTP. It is safe for concurrent use.
type Client struct {
	// baseURL is the URL prefix of all streams.
	baseURL    string
	httpClient *http.Client
}

const (
	// clientTimeout bounds a call, including the reading of the response. It also
	// bounds the setup of a connection.
	clientTimeout = 2 * time.Second
	// maxResponseBytes bounds the part of a response body that is decoded. A longer
	// body causes a decoding error.
	maxResponseBytes = 8 << 20
	// clientIdleConns bounds the idle connections to the log that are kept open.
	clientIdleConns = 4
)

// NewClient returns a Client for the log at an address (host:port).
func NewClient(address string) *Client {
	return &Client{
		baseURL: "http://" + address + "/v1/streams/",
		httpClient: &http.Client{
			Timeout:       clientTimeout,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: hop.NewTransport(&http.Transport{
				Proxy:               nil,
				DialContext:         (&net.Dialer{Timeout: clientTimeout}).DialContext,
				MaxIdleConnsPerHost: clientIdleConns,
				DisableCompression:  true,
			}),
		},
	}
}

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type appendResponse struct {
	First Offset `json:"first"`
}

// Append implements Log. In the AppendError that it returns, Uncertain is not set if the
// request was certainly not sent, or if the log rejected it with a status below 500.
// Uncertain is set in all other cases, also if the response to a successful append
// cannot be decoded.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (Offset, error) {
	body, err := json.Marshal(appendRequest{Records: records})
	if err != nil {
		return 0, &AppendError{Stream: stream, Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(body))
	if err != nil {
		return 0, &AppendError{Stream: stream, Err: err}
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return 0, &AppendError{Stream: stream, Uncertain: !isDialError(err), Err: err}
	}
	defer drainAndClose(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return 0, &AppendError{
			Stream:    stream,
			Uncertain: resp.StatusCode >= http.StatusInternalServerError,
			Err:       fmt.Errorf("log responded %s", resp.Status),
		}
	}
	var out appendResponse
	if err := decode(resp.Body, &out); err != nil {
		return 0, &AppendError{Stream: stream, Uncertain: true, Err: err}
	}
	return out.First, nil
}

// Read implements Log. Status 410 (Gone) becomes a TrimmedError.
func (c *Client) Read(ctx context.Context, stream string, from Offset, limit int) (Batch, error) {
	q := url.Values{"from": {strconv.FormatUint(uint64(from), 10)}, "limit": {strconv.Itoa(limit)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream)+"?"+q.Encode(), nil)
	if err != nil {
		return Batch{}, err
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return Batch{}, fmt.Errorf("read %s: %w", stream, err)
	}
	defer drainAndClose(resp.Body)
	var out Batch
	switch resp.StatusCode {
	case http.StatusOK:
		err = decode(resp.Body, &out)
		return out, err
	case http.StatusGone:
		if err := decode(resp.Body, &out); err != nil {
			return Batch{}, err
		}
		return out, &TrimmedError{Stream: stream, Oldest: out.Oldest}
	default:
		return Batch{}, fmt.Errorf("read %s: log responded %s", stream, resp.Status)
	}
}

// isDialError reports whether err is a failure to connect. After such a failure, the
// request has certainly not been sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// url returns the URL of the records of a stream.
func (c *Client) url(stream string) string { return c.baseURL + url.PathEscape(stream) + "/records" }

// decode decodes a JSON response body of at most maxResponseBytes into v.
func decode(r io.Reader, v any) error {
	return json.NewDecoder(io.LimitReader(r, maxResponseBytes)).Decode(v)
}

// drainAndClose reads the rest of a response body, up to maxResponseBytes, and closes
// the body. The connection can be reused only if the body was read to its end.
func drainAndClose(b io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(b, maxResponseBytes))
	_ = b.Close()
}
