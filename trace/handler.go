package trace

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/dottereltiller/dottereltiller/admin"
)

// ServeRecent writes the records in t.Recent as a JSON array, oldest first. The
// query parameter trace_id restricts the output to one trace.
func (t *Tracer) ServeRecent(w http.ResponseWriter, r *http.Request) {
	records := []Record{}
	if t != nil {
		records = FilterByTraceID(t.Recent.Records(), r.URL.Query().Get("trace_id"))
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(records)
}

// FilterByTraceID returns the records with the given trace ID, or all records when
// the ID is empty.
func FilterByTraceID(records []Record, traceID string) []Record {
	out := []Record{}
	for _, r := range records {
		if traceID == "" || r.TraceID == traceID {
			out = append(out, r)
		}
	}
	return out
}

// FetchRecords reads the records that a daemon holds in Tracer.Recent from the admin
// address (host:port) of the daemon.
func FetchRecords(ctx context.Context, address string) ([]Record, error) {
	var records []Record
	err := admin.Get(ctx, address, "/traces", &records)
	return records, err
}
