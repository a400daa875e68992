package guard

import (
	"net/http"

	"github.com/dottereltiller/dottereltiller/wire"
)

// ServeHTTP implements http.Handler for calls from the entries of other daemons. It
// responds with status 400 to a request that is not a valid call.
func (g *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := wire.ReadCall(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	response := g.Do(r.Context(), c)
	wire.WriteResult(w, response, c.ID)
}

var _ http.Handler = (*Guard)(nil)
