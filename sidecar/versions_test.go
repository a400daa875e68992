package sidecar

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/route"
	"github.com/dottereltiller/dottereltiller/hop"
)

// largeDocument returns a document of about a hundred kilobytes. The documents of two versions
// differ in the version number and in one extra line that each has.
func largeDocument(version int) []byte {
	const routes = 2000
	var b strings.Builder
	fmt.Fprintf(&b, "version %d\n", version)
	for i := range routes {
		fmt.Fprintf(&b, "route-%d /path/%x service-%d\n", i, i*2654435761, i*31%77)
		if i == version {
			fmt.Fprintf(&b, "changed in %d\n", version)
		}
	}
	return []byte(b.String())
}

// versionSource decodes the documents that largeDocument returns. It reads only the version
// number from them, and takes the routes from documentOf.
type versionSource struct{ Source }

func (versionSource) Decode(raw []byte) (route.Document, error) {
	var v model.Version
	_, err := fmt.Sscanf(string(raw), "version %d", &v)
	return route.Document{Version: v, Routes: documentOf(1, "a").Routes}, err
}

// configWithVersions returns a configuration in which the versions 1 to newest have been in
// force, one after the other.
func configWithVersions(newest int) *configuration {
	c := newConfiguration(versionSource{}, nil, newEvacuations(nil))
	for v := 1; v <= newest; v++ {
		c.apply(largeDocument(v), "test")
	}
	return c
}

// serveVersions serves the documents of a configuration as a daemon does, and returns a connection
// pool to the server. It adds the bytes of each response body to *sentBytes.
func serveVersions(t *testing.T, c *configuration, sentBytes *int) *hop.Pool {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		peerHandler{&Daemon{config: c}}.config(rec, r)
		*sentBytes += rec.Body.Len()
		w.WriteHeader(rec.Code)
		_, _ = io.Copy(w, rec.Body)
	}))
	t.Cleanup(server.Close)
	pool := hop.NewPool(server.Listener.Addr().String(), hop.PoolOptions{})
	t.Cleanup(pool.Close)
	return pool
}

// TestFetchTransfersDelta has a daemon fetch version 9 and bounds the bytes transferred. The bound
// is low only if the daemon has a version in force from which the other daemon can make a delta.
func TestFetchTransfersDelta(t *testing.T) {
	const newest, compressedBytes = 9, 25_000
	for name, c := range map[string]struct {
		heldVersion          int
		hasDifferentDocument bool
		maxBytes             int
	}{
		"one version behind":                    {heldVersion: 8, maxBytes: 200},
		"three versions behind":                 {heldVersion: 6, maxBytes: 300},
		"further behind than versions are kept": {heldVersion: 5, maxBytes: compressedBytes},
		"nothing in force":                      {heldVersion: 0, maxBytes: compressedBytes},
		"different document of that version":    {heldVersion: 8, hasDifferentDocument: true, maxBytes: compressedBytes + 500},
	} {
		t.Run(name, func(t *testing.T) {
			var sentBytes int
			pool := serveVersions(t, configWithVersions(newest), &sentBytes)
			config := configWithVersions(c.heldVersion)
			if c.hasDifferentDocument {
				config = configWithVersions(0)
				config.apply(append(largeDocument(c.heldVersion), "something else\n"...), "test")
			}
			raw, err := config.fetch(t.Context(), pool, "test")
			require.NoError(t, err)
			require.True(t, bytes.Equal(largeDocument(newest), raw))
			require.LessOrEqual(t, sentBytes, c.maxBytes)
		})
	}
}

// TestSmallDocumentsAreSentWhole checks that no delta is computed for a document of a few bytes,
// although the version that the delta would start from is kept.
func TestSmallDocumentsAreSentWhole(t *testing.T) {
	var v documentHistory
	v.add(1, []byte("one"))
	v.add(2, []byte("two"))
	d, err := v.deltaFrom(1)
	require.NoError(t, err)
	require.Nil(t, d)
	require.Equal(t, "two", string(v.newest()))
}

// TestKeptVersionsAreBounded brings more versions into force than maxKeptVersions. Only the newest
// ones may be kept.
func TestKeptVersionsAreBounded(t *testing.T) {
	c := configWithVersions(100)
	require.Len(t, c.history.documents, maxKeptVersions)
	require.NotNil(t, c.history.document(100))
	require.Nil(t, c.history.document(100-maxKeptVersions))
}
