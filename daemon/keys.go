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

// KeysPath is the path on the callers' address that hands out keys, by POST.
const KeysPath = "/.well-known/dottereltiller/keys"

// maxOwnerInterval is the longest time between two checks of the grants. They
// reach far ahead, so it need not be short.
const maxOwnerInterval = time.Second

// buildOwner sets up the owner of idempotency keys. The entry must exist when
// the first keyed request comes.
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

// grantReads is how often the grants are read at least within one grant.
const grantReads = 20

// owners lists the daemons that may own keys: all that have an upstream in view.
func (d *Daemon) owners() []model.DaemonID {
	peers := d.Members.Peers()
	out := make([]model.DaemonID, 0, len(peers))
	for _, p := range peers {
		out = append(out, p.ID)
	}
	return out
}

// withKeys hands out keys at KeysPath and leaves all else to next.
func (d *Daemon) withKeys(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != KeysPath {
			next.ServeHTTP(w, r)
			return
		}
		if r.Method != http.MethodPost {
			w.Header().Set("Allow", http.MethodPost)
			http.Error(w, "POST hands out a key", http.StatusMethodNotAllowed)
			return
		}
		key, live := d.Owner.NewKey()
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "no-store")
		w.WriteHeader(http.StatusCreated)
		_ = json.NewEncoder(w).Encode(handedKey{Key: key.String(), Owned: live})
	})
}

// handedKey is the answer at KeysPath.
type handedKey struct {
	Key string `json:"key"`
	// Owned tells that a request with the key can run now.
	Owned bool `json:"owned"`
}
