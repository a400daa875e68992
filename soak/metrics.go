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

func isReady(ctx context.Context, m *machine) bool {
	body, err := getPage(ctx, m.vm.ReadyURL())
	if err != nil {
		return false
	}
	_ = body.Close()
	return true
}

// getPage returns the body of a page, which is to be closed. Any status but 200 is an error.
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
		return nil, fmt.Errorf("%s: answered %d", url, resp.StatusCode)
	}
	return resp.Body, nil
}

// readCounter reads one counter in the Prometheus text format. It is 0 where there is none.
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

func containsAll(s string, parts []string) bool {
	for _, p := range parts {
		if !strings.Contains(s, p) {
			return false
		}
	}
	return true
}
