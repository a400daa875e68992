package hop

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestConnectionCarriesAnIDOnce guards against a response that is taken for another run of the same
// request. A request that is sent again must not use the connection that carried it before.
func TestConnectionCarriesAnIDOnce(t *testing.T) {
	s := startScriptedServer(t, echoIDs)
	p := NewPool(s.address, PoolOptions{})
	defer p.Close()
	do := func(id string) Exchange {
		r := requestWithID(id)
		r.ID = id
		resp, err := p.Do(t.Context(), r)
		require.NoError(t, err)
		return resp.Exchange
	}
	require.Equal(t, Exchange{Conn: 1, Index: 1}, do("a"))
	require.Equal(t, Exchange{Conn: 2, Index: 1}, do("a"), "connection 1 has carried it")
	require.Equal(t, Exchange{Conn: 2, Index: 2}, do("b"), "the newest idle connection is used")
	require.Equal(t, Exchange{Conn: 1, Index: 2}, do("b"), "only connection 2 has carried it")
	require.Equal(t, Exchange{Conn: 3, Index: 1}, do("b"))
	require.Equal(t, 3, s.connectionCount())
}

// TestConnectionsForgetNoID sends more requests with an ID than a connection remembers. Each connection must be
// closed before it would have to forget one.
func TestConnectionsForgetNoID(t *testing.T) {
	s := startScriptedServer(t, echoIDs)
	p := NewPool(s.address, PoolOptions{})
	defer p.Close()
	for i := range 2*maxCarriedIDs + 1 {
		r := requestWithID(fmt.Sprint("r", i))
		r.ID = fmt.Sprint("r", i)
		resp, err := p.Do(t.Context(), r)
		require.NoError(t, err)
		require.LessOrEqual(t, resp.Exchange.Index, maxCarriedIDs)
	}
	require.Equal(t, 3, s.connectionCount())
}
