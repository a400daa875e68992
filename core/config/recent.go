package config

// recordBuffer is a bounded buffer of the last applied records. Deltas for other
// daemons are made from these records.
type recordBuffer struct {
	// firstOffset is the offset of records[0].
	firstOffset uint64
	records     []recentRecord
	// totalBytes is the total size of the records.
	totalBytes int
}

// recentRecord is an applied record. The data of an ignored record is empty.
type recentRecord struct {
	data []byte
	// chainBefore is the hash chain before the record was applied.
	chainBefore Digest
}

const (
	maxRecentRecords = 256
	maxRecentBytes   = 512 << 10
)

// add appends a record. It then removes the oldest records until the buffer is within
// maxRecentRecords and maxRecentBytes.
func (r *recordBuffer) add(offset uint64, data []byte, chainBefore Digest) {
	if len(r.records) == 0 {
		r.firstOffset = offset
	}
	r.records = append(r.records, recentRecord{data: data, chainBefore: chainBefore})
	r.totalBytes += len(data)
	for len(r.records) > maxRecentRecords || r.totalBytes > maxRecentBytes {
		r.totalBytes -= len(r.records[0].data)
		r.records[0] = recentRecord{}
		r.records = r.records[1:]
		r.firstOffset++
	}
}

// startingAt returns the records from the given offset on. It returns false if the
// buffer does not contain the record at that offset.
func (r *recordBuffer) startingAt(offset uint64) ([]recentRecord, bool) {
	if len(r.records) == 0 || offset < r.firstOffset {
		return nil, false
	}
	skip := offset - r.firstOffset
	if skip >= uint64(len(r.records)) {
		return nil, false
	}
	return r.records[skip:], true
}

// cachedCheckpoint is a state that is sent to other daemons in chunks. The current
// state may change between two chunks, but all chunks must come from the same
// state. The state is therefore kept here.
type cachedCheckpoint struct {
	state State
	// encoded is the encoded checkpoint. It is nil until it is first needed.
	encoded []byte
}
