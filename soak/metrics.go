package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// isReady reports whether the daemon of a VM reports itself ready.
func isReady(ctx context.Context, m *vm) bool {
	body, err := getPage(ctx, m.config.ReadyURL())
	if err != nil {
		return false
	}
	_ = body.Close()
	return true
}

// getPage returns the body of a page. The caller must close the body. Any status but 200 is an
// error.
func getPage(ctx context.Context, url string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return resp.Body, nil
}

// readCounter fetches a metrics page and returns the value that findCounter finds in it.
func readCounter(ctx context.Context, url, name string, labels ...string) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, requestDeadline)
	defer cancel()
	body, err := getPage(ctx, url)
	if err != nil {
		return 0, err
	}
	defer func() { _ = body.Close() }()
	return findCounter(body, name, labels)
}

// findCounter reads metrics in the Prometheus text format. It returns the value of the first series
// that has the name, at least one label and all the given labels, which are written as key="value".
// It returns 0 if there is no such series, and an error if the value is malformed.
func findCounter(r io.Reader, name string, labels []string) (float64, error) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		series, value, _ := strings.Cut(lines.Text(), " ")
		if !strings.HasPrefix(series, name+"{") || !containsAll(series, labels) {
			continue
		}
		return strconv.ParseFloat(value, 64)
	}
	return 0, lines.Err()
}

// containsAll reports whether s contains all substrings.
func containsAll(s string, substrings []string) bool {
	for _, p := range substrings {
		if !strings.Contains(s, p) {
			return false
		}
	}
	return true
}
