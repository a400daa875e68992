// Package admin is the HTTP client with which the operator's command line reads
// from the admin addresses of daemons.
package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/hop"
)

const (
	// timeout bounds one request with its response.
	timeout = 5 * time.Second
	// maxResponseBytes bounds the part of a response body that is read. A longer
	// JSON value fails to decode.
	maxResponseBytes = 64 << 20
)

// client connects only to the address in the request: it uses no proxy and
// follows no redirect.
var client = &http.Client{
	Timeout:       timeout,
	Transport:     hop.NewTransport(&http.Transport{Proxy: nil, DisableCompression: true, MaxIdleConnsPerHost: 1}),
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Get requests a path at a daemon's admin address (host:port) and decodes the
// JSON response into v. A status other than 200 is an error.
func Get(ctx context.Context, address, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("daemon %s answered %s", address, resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(v); err != nil {
		return fmt.Errorf("daemon %s: %w", address, err)
	}
	return nil
}

// CloseIdle closes the idle connections to admin addresses.
func CloseIdle() { client.CloseIdleConnections() }
