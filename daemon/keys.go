package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/core/claims"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/hop"
	"github.com/dottereltiller/dottereltiller/owner"
	"github.com/dottereltiller/dottereltiller/wire"
)

// KeysPath is the path on the callers' address where a POST request obtains a new
// idempotency key.
const KeysPath = "/.well-known/dottereltiller/keys"

// maxGrantCheckInterval is the longest time between two checks whether the grants of
// key ownership need to be read or renewed. Grants are valid for far longer (settings
// field keys.grant), so the checks need not be frequent.
const maxOwnerInterval = time.Second

// buildOwner sets up the component that owns idempotency keys. The entry is built
// later, so Run reads d.Entry only when the first request with a key arrives.
func (d *Daemon) buildOwner(client *hop.Client) {
	k := d.settings.Keys
	d.Owner = owner.New(owner.Options{
		Self:             d.ID(),
		Log:              d.Log,
		Execute:          func(ctx context.Context, c *wire.Call) *wire.Result { return d.Entry.ForwardKeyed(ctx, c) },
		Candidates:       d.owners,
		Client:           client,
		PeerSecret:       d.settings.Peers.Secret,
		Messenger:        owner.PeerMessenger{Client: d.Peers},
		GrantDuration:    time.Duration(k.Grant),
		Retention:        time.Duration(k.Retention),
		PollInterval:     min(maxOwnerInterval, time.Duration(k.Grant)/grantReads),
		MaxBodyBytes:     k.MaxBodyBytes,
		MaxResponseBytes: k.MaxAnswerBytes,
		Limits:           claims.Limits{Claims: k.MaxClaims, AnswerBytes: k.MaxAnswersBytes},
		Scope:            d.scope("keys"),
		Logger:           d.logger,
	})
	d.PeerService.HandOver = d.Owner.HandOver
}

// minChecksPerGrant is the least number of checks within the duration of one grant.
const grantReads = 20

// ownerCandidates returns the daemons that may own keys: all that have an upstream in
// this daemon's membership view.
func (d *Daemon) owners() []model.DaemonID {
	peers := d.Members.Peers()
	out := make([]model.DaemonID, 0, len(peers))
	for _, p := range peers {
		out = append(out, p.ID)
	}
	return out
}

// serveKeys returns a handler that issues idempotency keys at KeysPath and passes all
// other requests to next.
func (d *Daemon) withKeys(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != KeysPath {
			next.ServeHTTP(w, r)
			return
		}
		if r.Method != http.MethodPost {
			w.Header().Set("Allow", http.MethodPost)
			http.Error(w, "use POST to obtain a key", http.StatusMethodNotAllowed)
			return
		}
		key, live := d.Owner.NewKey()
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "no-store")
		w.WriteHeader(http.StatusCreated)
		_ = json.NewEncoder(w).Encode(handedKey{Key: key.String(), Owned: live})
	})
}

// issuedKey is the response body at KeysPath.
type handedKey struct {
	Key string `json:"key"`
	// Owned is false when no daemon owns the key yet. A request with the key can
	// run only once a daemon owns it.
	Owned bool `json:"owned"`
}
