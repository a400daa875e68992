package recordlog

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"
)

const (
	// maxAppendBytes bounds the body of an append request and of a request to set
	// faults. A larger body is answered with status 400.
	maxAppendBytes = 4 << 20
	// maxReadRecords bounds the records in the response to a read. It also replaces
	// a limit parameter that is missing, invalid or larger.
	maxReadRecords = 4096
)

// Handler serves a Log over the HTTP API of the platform's log service.
func Handler(log Log) http.Handler {
	h := &handler{log: log}
	r := chi.NewRouter()
	r.Post("/v1/streams/{stream}/records", h.append)
	r.Get("/v1/streams/{stream}/records", h.read)
	return r
}

// FaultHandler serves a FaultyLog like Handler. In addition, a PUT request to /v1/faults
// with JSON-encoded Faults replaces the faults that the log injects. If the body cannot
// be decoded or has an unknown field, the response has status 400 and the faults stay.
func FaultHandler(log *FaultyLog) http.Handler {
	r := chi.NewRouter()
	r.Mount("/", Handler(log))
	r.Put("/v1/faults", func(w http.ResponseWriter, r *http.Request) {
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAppendBytes))
		dec.DisallowUnknownFields()
		var faults Faults
		if err := dec.Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		log.SetFaults(faults)
		w.WriteHeader(http.StatusNoContent)
	})
	return r
}

type handler struct {
	log Log
}

func (h *handler) append(w http.ResponseWriter, r *http.Request) {
	var req appendRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAppendBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	first, err := h.log.Append(r.Context(), chi.URLParam(r, "stream"), req.Records)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, appendResponse{First: first})
}

func (h *handler) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter from is not an offset", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit <= 0 || limit > maxReadRecords {
		limit = maxReadRecords
	}
	b, err := h.log.Read(r.Context(), chi.URLParam(r, "stream"), Offset(from), limit)
	var trimmed *TrimmedError
	switch {
	case errors.As(err, &trimmed):
		writeJSON(w, http.StatusGone, Batch{Oldest: trimmed.Oldest})
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		writeJSON(w, http.StatusOK, b)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
