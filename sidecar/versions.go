package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/decision"
	"github.com/dottereltiller/dottereltiller/delta"
	"github.com/dottereltiller/dottereltiller/hop"
)

const (
	// keptVersions is how many documents are kept for deltas, the one in force among
	// them.
	keptVersions = 4
	// smallDocument is the size in bytes up to which documents travel as they are: a delta
	// costs the processor more than it saves on the way.
	maxPlainDocumentBytes = 1 << 10
	// maxDocument bounds a document that comes as a delta, in bytes.
	maxDocumentBytes = 16 << 20
	// haveParameter tells which version the sender of a question has.
	haveParam = "have"
)

// heldDocument is a version of the configuration as it was read.
type storedDocument struct {
	version model.Version
	raw     []byte
	// deltas are those from earlier documents to this one that were asked for. That from
	// version 0 is the document compressed.
	deltas map[model.Version][]byte
}

// versions keeps the newest documents, so that daemons that hold an earlier one get the
// difference. The zero value is empty. It is safe for concurrent use.
type versions struct {
	mu sync.Mutex
	// held are in rising order of version.
	documents []storedDocument
}

// add takes in a document that has come into force.
func (v *versions) add(version model.Version, raw []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if n := len(v.documents); n > 0 {
		v.documents[n-1].deltas = nil
	}
	v.documents = append(v.documents, storedDocument{version: version, raw: raw, deltas: make(map[model.Version][]byte)})
	if len(v.documents) > keptVersions {
		v.documents = slices.Delete(v.documents, 0, 1)
	}
}

// newest returns the document in force, or nil.
func (v *versions) newest() []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.documents) == 0 {
		return nil
	}
	return v.documents[len(v.documents)-1].raw
}

// of returns the document of a version, or nil when it is not kept.
func (v *versions) document(version model.Version) []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.documentLocked(version)
}

// find is of with v.mu held.
func (v *versions) documentLocked(version model.Version) []byte {
	for _, h := range v.documents {
		if h.version == version {
			return h.raw
		}
	}
	return nil
}

// since returns the delta from a version to the document in force, or that from nothing
// where the version is not kept. It is nil where the document itself is to be sent.
func (v *versions) deltaFrom(version model.Version) ([]byte, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.documents) == 0 {
		return nil, nil
	}
	newest := &v.documents[len(v.documents)-1]
	if len(newest.raw) <= maxPlainDocumentBytes {
		return nil, nil
	}
	base := v.documentLocked(version)
	if base == nil {
		version = 0
	}
	if d, ok := newest.deltas[version]; ok {
		return d, nil
	}
	d, err := delta.Of(base, newest.raw)
	if err != nil {
		return nil, err
	}
	if len(d) >= len(newest.raw) {
		d = nil
	}
	newest.deltas[version] = d
	return d, nil
}

// fetch returns the document that a daemon has in force. Where the daemon keeps the one in
// force here, only the difference travels. The error is a *hop.LostError, a *StatusError or
// that of the delta.
func (c *configuration) fetch(ctx context.Context, pool *hop.Pool, from string) ([]byte, error) {
	have := c.version()
	base := c.versions.document(have)
	raw, err := fetchSince(ctx, pool, have, base)
	if err == nil || base == nil || !errors.As(err, new(*DeltaError)) {
		return raw, err
	}
	// The daemon holds another document under the same version.
	c.decisions.Write(decision.ConfigRefused, "", slog.Uint64("version", uint64(have)),
		slog.Uint64("in_force", uint64(have)), slog.String("from", from), slog.String("error", err.Error()))
	return fetchSince(ctx, pool, 0, nil)
}

// DeltaError is a document that came as a delta and could not be restored.
type DeltaError struct {
	// Have is the version that the delta was to start from.
	From model.Version
	Err  error
}

// Error names the version.
func (e *DeltaError) Error() string { return fmt.Sprintf("delta from version %d: %v", e.From, e.Err) }

// Unwrap returns the cause.
func (e *DeltaError) Unwrap() error { return e.Err }

// fetchSince asks a daemon for the document in force, of which the base is held here.
func fetchSince(ctx context.Context, pool *hop.Pool, have model.Version, base []byte) ([]byte, error) {
	query := url.Values{haveParam: {strconv.FormatUint(uint64(have), 10)}}
	path := pathConfig + "?" + query.Encode()
	r, err := requestPeer(ctx, pool, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	switch r.Status {
	case http.StatusOK:
		return r.Body, nil
	case http.StatusIMUsed:
	default:
		return nil, &StatusError{Path: path, Status: r.Status}
	}
	raw, err := delta.Apply(base, r.Body, maxDocumentBytes)
	if err != nil {
		return nil, &DeltaError{From: have, Err: err}
	}
	return raw, nil
}

// config answers with the document in force, as a delta (status 226, RFC 3229) to those
// that tell what they have.
func (p peerHandler) config(w http.ResponseWriter, r *http.Request) {
	documents := &p.d.config.versions
	raw := documents.newest()
	if raw == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if d := p.deltaFrom(r.URL.Query().Get(haveParam)); d != nil {
		w.WriteHeader(http.StatusIMUsed)
		_, _ = w.Write(d)
		return
	}
	_, _ = w.Write(raw)
}

// deltaSince returns the delta from a version in decimal digits, or nil.
func (p peerHandler) deltaFrom(version string) []byte {
	have, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return nil
	}
	d, err := p.d.config.versions.deltaFrom(model.Version(have))
	if err != nil {
		p.d.opts.Logger.Error("no delta of the configuration", "have", have, "error", err)
	}
	return d
}
