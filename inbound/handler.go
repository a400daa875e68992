package inbound

import "net/http"

// AbortClosed hands on no request whose connection this side has closed since it was read: its
// sender would get no answer. It needs NewListener and ConnContext.
func AbortClosed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ClosedByServer(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// ReportPanics tells of a panic of a handler before net/http closes the connection. Those by which
// a handler closes it itself are passed over.
func ReportPanics(next http.Handler, onPanic func(r *http.Request, v any)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if v != http.ErrAbortHandler {
				onPanic(r, v)
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}
