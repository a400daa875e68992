package recordlog

import (
	"bytes"
	"context"
	"sync"
	"time"
)

// Memory is a Log held in memory. The zero value is an empty log that keeps its
// records forever.
type Memory struct {
	// Retention is how long records are kept. Zero means forever.
	Retention time.Duration

	mu           sync.Mutex
	streamByName map[string]*memoryStream
}

type memoryStream struct {
	// oldest is the offset of records[0], or of the next record if records is empty.
	oldest  Offset
	records []memoryRecord
}

type memoryRecord struct {
	data       []byte
	appendedAt time.Time
}

// Append implements Log.
func (m *Memory) Append(_ context.Context, stream string, records [][]byte) (Offset, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.getOrCreateStream(stream)
	firstOffset := s.nextOffset()
	now := time.Now()
	for _, r := range records {
		s.records = append(s.records, memoryRecord{data: bytes.Clone(r), appendedAt: now})
	}
	m.dropExpired(s)
	return firstOffset, nil
}

// Read implements Log.
func (m *Memory) Read(_ context.Context, stream string, from Offset, limit int) (Batch, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.getOrCreateStream(stream)
	m.dropExpired(s)
	b := Batch{Oldest: s.oldest, Next: s.nextOffset()}
	if from < s.oldest {
		return b, &TrimmedError{Stream: stream, Oldest: s.oldest}
	}
	for offset := from; offset < b.Next && len(b.Records) < limit; offset++ {
		b.Records = append(b.Records, Record{Offset: offset, Data: s.records[offset-s.oldest].data})
	}
	return b, nil
}

// Trim drops the records of a stream whose offset is below oldest.
func (m *Memory) Trim(stream string, oldest Offset) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.getOrCreateStream(stream)
	oldest = min(oldest, s.nextOffset())
	if oldest > s.oldest {
		s.records = s.records[oldest-s.oldest:]
		s.oldest = oldest
	}
}

// dropExpired drops the records of s that are older than Retention. m.mu is held.
func (m *Memory) dropExpired(s *memoryStream) {
	if m.Retention <= 0 {
		return
	}
	cutoff := time.Now().Add(-m.Retention)
	for len(s.records) > 0 && s.records[0].appendedAt.Before(cutoff) {
		s.records = s.records[1:]
		s.oldest++
	}
}

// getOrCreateStream returns the stream with the given name, and creates it if it does
// not exist. m.mu is held.
func (m *Memory) getOrCreateStream(name string) *memoryStream {
	if m.streamByName == nil {
		m.streamByName = make(map[string]*memoryStream)
	}
	s := m.streamByName[name]
	if s == nil {
		s = &memoryStream{}
		m.streamByName[name] = s
	}
	return s
}

// nextOffset returns the offset of the next record to be appended.
func (s *memoryStream) nextOffset() Offset { return s.oldest + Offset(len(s.records)) }
