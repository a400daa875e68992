package config

// recent holds the last folded records so that they can be handed on.
type recent struct {
	first   uint64
	records []recentRecord
	bytes   int
}

type recentRecord struct {
	data []byte
	// before is the chain before the record.
	chainBefore Digest
}

const (
	maxRecentRecords = 256
	maxRecentBytes   = 512 << 10
)

func (r *recent) add(offset uint64, data []byte, chainBefore Digest) {
	if len(r.records) == 0 {
		r.first = offset
	}
	r.records = append(r.records, recentRecord{data: data, chainBefore: chainBefore})
	r.bytes += len(data)
	for len(r.records) > maxRecentRecords || r.bytes > maxRecentBytes {
		r.bytes -= len(r.records[0].data)
		r.records[0] = recentRecord{}
		r.records = r.records[1:]
		r.first++
	}
}

// from returns the records from an offset on, and whether it reaches back that
// far.
func (r *recent) from(offset uint64) ([]recentRecord, bool) {
	if len(r.records) == 0 || offset < r.first {
		return nil, false
	}
	skip := offset - r.first
	if skip >= uint64(len(r.records)) {
		return nil, false
	}
	return r.records[skip:], true
}

// anchor is a state kept to be handed on, encoded when first needed.
type cachedCheckpoint struct {
	state   State
	encoded []byte
}
