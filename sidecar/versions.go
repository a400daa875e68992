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
	// maxKeptVersions is how many documents are kept at most, the one in force included. Another
	// daemon that has one of them in force can be sent a delta.
	maxKeptVersions = 4
	// maxPlainDocumentBytes is the size up to which a document is sent as it is. For a document
	// of that size, computing a delta would cost more processor time than the saved bytes are
	// worth.
	maxPlainDocumentBytes = 1 << 10
	// maxDocumentBytes bounds a document that is restored from a delta. A larger one is an error.
	maxDocumentBytes = 16 << 20
	// heldVersionParam is the query parameter with the version that the requesting daemon has in
	// force.
	heldVersionParam = "have"
)

// storedDocument is a version of the configuration, byte by byte as it was read from the store.
type storedDocument struct {
	version model.Version
	raw     []byte
	// deltas caches the deltas to this document, by the version that each starts from. The delta
	// from version 0 is the compressed document. A nil delta means that it would save no bytes.
	deltas map[model.Version][]byte
}

// documentHistory keeps the documents that came into force last, at most maxKeptVersions. A daemon
// that has one of them in force can be sent a delta. The zero value is an empty history. It is safe
// for concurrent use.
type documentHistory struct {
	mu sync.Mutex
	// documents are sorted by ascending version.
	documents []storedDocument
}

func (v *documentHistory) add(version model.Version, raw []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if n := len(v.documents); n > 0 {
		v.documents[n-1].deltas = nil
	}
	v.documents = append(v.documents, storedDocument{version: version, raw: raw, deltas: make(map[model.Version][]byte)})
	if len(v.documents) > maxKeptVersions {
		v.documents = slices.Delete(v.documents, 0, 1)
	}
}

// newest returns the document in force, or nil if there is none.
func (v *documentHistory) newest() []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.documents) == 0 {
		return nil
	}
	return v.documents[len(v.documents)-1].raw
}

// document returns the document of a version, or nil if it is not kept.
func (v *documentHistory) document(version model.Version) []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.documentLocked(version)
}

// documentLocked is document for callers that hold v.mu.
func (v *documentHistory) documentLocked(version model.Version) []byte {
	for _, document := range v.documents {
		if document.version == version {
			return document.raw
		}
	}
	return nil
}

// deltaFrom returns the delta from a version to the document in force. If the version is not
// kept, the delta starts from the empty document.
//
// The delta is nil if the document itself is to be sent, because the document is small or the delta
// is no smaller than the document. It is also nil if there is no document.
func (v *documentHistory) deltaFrom(version model.Version) ([]byte, error) {
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
	if cachedDelta, ok := newest.deltas[version]; ok {
		return cachedDelta, nil
	}
	encodedDelta, err := delta.Encode(base, newest.raw)
	if err != nil {
		return nil, err
	}
	if len(encodedDelta) >= len(newest.raw) {
		encodedDelta = nil
	}
	newest.deltas[version] = encodedDelta
	return encodedDelta, nil
}

// fetch returns the document that the daemon at address has in force. If that daemon keeps the
// version in force here, only the delta from that version is transferred. If the document cannot
// be restored from the delta, fetch requests it again without stating a version held. The error,
// if any, is a *hop.RequestError, a *StatusError or a *DeltaError.
func (c *configuration) fetch(ctx context.Context, pool *hop.Pool, address string) ([]byte, error) {
	heldVersion := c.version()
	base := c.history.document(heldVersion)
	raw, err := c.fetchSince(ctx, pool, address, heldVersion, base)
	if err == nil || base == nil || !errors.As(err, new(*DeltaError)) {
		return raw, err
	}
	// The other daemon probably holds a different document under the same version.
	c.decisions.Write(decision.ConfigRefused, "", slog.Uint64("version", uint64(heldVersion)),
		slog.Uint64("in_force", uint64(heldVersion)), slog.String("from", address), slog.String("error", err.Error()))
	return c.fetchSince(ctx, pool, address, 0, nil)
}

// DeltaError reports that a document could not be restored from a delta.
type DeltaError struct {
	// From is the version that the delta starts from.
	From model.Version
	Err  error
}

// Error implements error.
func (e *DeltaError) Error() string { return fmt.Sprintf("delta from version %d: %v", e.From, e.Err) }

// Unwrap returns the cause of the failure.
func (e *DeltaError) Unwrap() error { return e.Err }

// fetchSince requests the document that the daemon at address has in force, or the delta from heldVersion to
// it, and returns the document. base is the document of heldVersion, or nil if this daemon does
// not hold that version.
func (c *configuration) fetchSince(ctx context.Context, pool *hop.Pool, address string, heldVersion model.Version, base []byte) ([]byte, error) {
	query := url.Values{heldVersionParam: {strconv.FormatUint(uint64(heldVersion), 10)}}
	path := pathConfig + "?" + query.Encode()
	r, err := requestPeer(ctx, pool, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	c.evacuations.receiveHeader(r.Header, address)
	switch r.Status {
	case http.StatusOK:
		return r.Body, nil
	case http.StatusIMUsed:
	default:
		return nil, &StatusError{Path: path, Status: r.Status}
	}
	raw, err := delta.Apply(base, r.Body, maxDocumentBytes)
	if err != nil {
		return nil, &DeltaError{From: heldVersion, Err: err}
	}
	return raw, nil
}

// config responds with the document in force. It responds with a delta instead (status 226, RFC
// 3229) if the request states a version and a delta is worth sending (see deltaFrom). If no
// configuration is in force, it responds with status 404.
func (p peerHandler) config(w http.ResponseWriter, r *http.Request) {
	history := &p.d.config.history
	raw := history.newest()
	if raw == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	p.d.config.evacuations.setEvacuations(w.Header())
	if d := p.deltaFromParam(r.URL.Query().Get(heldVersionParam)); d != nil {
		w.WriteHeader(http.StatusIMUsed)
		_, _ = w.Write(d)
		return
	}
	_, _ = w.Write(raw)
}

// deltaFromParam returns the delta from the version that param, the value of heldVersionParam,
// states. It returns nil if there is no delta to send, if param is not a number, or if computing
// the delta fails, which is logged.
func (p peerHandler) deltaFromParam(param string) []byte {
	heldVersion, err := strconv.ParseUint(param, 10, 64)
	if err != nil {
		return nil
	}
	d, err := p.d.config.history.deltaFrom(model.Version(heldVersion))
	if err != nil {
		p.d.opts.Logger.Error("computing the configuration delta failed", "have", heldVersion, "error", err)
	}
	return d
}
