package inbound

import "net/http"

// AbortClosed returns a handler that calls next. It aborts a request instead if
// the server has closed the connection since the request was read: the client
// would get no response. The server has to use NewListener and ConnContext.
func AbortClosed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ClosedByServer(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// ReportPanics returns a handler that calls next. If next panics, the handler
// calls onPanic with the request and the panic value, and then has net/http close
// the connection. It does not report http.ErrAbortHandler, with which a handler
// closes the connection on purpose.
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

// ResetUnfinished returns a handler that calls next. If the connection of an HTTP/1.0
// request is closed before next has returned, the client sees a reset: the body of such a
// response may end with its connection, and would look complete. The server has to use
// NewListener and ConnContext.
func ResetUnfinished(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*trackedConn)
		if !ok || r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		_ = c.SetLinger(0)
		finished := false
		defer func() {
			if !finished {
				// net/http would first end a TLS connection in order.
				_ = c.Close()
			}
		}()
		next.ServeHTTP(w, r)
		finished = true
		_ = c.SetLinger(-1)
	})
}
