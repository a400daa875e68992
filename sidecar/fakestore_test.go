package sidecar

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dottereltiller/dottereltiller/core/route"
)

// store is an in-memory configuration store and directory.
type store struct {
	mu               sync.Mutex
	doc              route.Document
	entriesByAddress map[string]DirectoryEntry
	changed          chan struct{}
	down             bool
	// announcements counts the calls of Announce.
	announcements int
}

func newStore(doc route.Document) *store {
	return &store{doc: doc, entriesByAddress: make(map[string]DirectoryEntry), changed: make(chan struct{})}
}

func (s *store) publish(doc route.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doc = doc
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

var errStoreDown = errors.New("the store is down")

func (s *store) checkUp() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errStoreDown
	}
	return nil
}

// documents maps the raw form that encodeDocument made to the document. The raw form consists only
// of the version and a pointer.
var documents sync.Map

func encodeDocument(doc route.Document) []byte {
	raw := fmt.Sprintf("%d/%p", doc.Version, &doc.Routes)
	documents.Store(raw, doc)
	return []byte(raw)
}

var errUnknownDocument = errors.New("unknown document")

// source gives one daemon access to the store.
type source struct {
	store *store
	// disconnected makes the store unreachable for this daemon only.
	disconnected atomic.Bool
}

func (s *source) Decode(raw []byte) (route.Document, error) {
	doc, ok := documents.Load(string(raw))
	if !ok {
		return route.Document{}, errUnknownDocument
	}
	return doc.(route.Document), nil
}

func (s *source) Watch(ctx context.Context, c ConfigConsumer) error {
	for {
		if err := c.AwaitElection(ctx); err != nil {
			return err
		}
		s.store.mu.Lock()
		doc, changed, down := s.store.doc, s.store.changed, s.store.down || s.disconnected.Load()
		s.store.mu.Unlock()
		if down {
			c.RecordStoreCall(false)
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(10 * time.Millisecond):
			}
			continue
		}
		c.RecordStoreCall(true)
		if doc.Version > 0 {
			c.Receive(encodeDocument(doc), "store")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (s *store) Announce(_ context.Context, e DirectoryEntry) error {
	if err := s.checkUp(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entriesByAddress[e.Address] = e
	s.announcements++
	return nil
}

func (s *store) List(context.Context) ([]DirectoryEntry, error) {
	if err := s.checkUp(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []DirectoryEntry
	for _, e := range s.entriesByAddress {
		entries = append(entries, e)
	}
	return entries, nil
}

func (s *store) Remove(_ context.Context, address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entriesByAddress, address)
	return nil
}
