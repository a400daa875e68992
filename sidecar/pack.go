package sidecar

import (
	"bytes"
	"encoding/json"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
)

// maxUnpackedBytes bounds how many bytes of JSON are decompressed from one datagram.
const maxUnpackedBytes = 64 << 10

// packDictionary is the preset compression dictionary. It holds text that records have in
// common, so that even the first record of a datagram compresses well.
var packDictionary = []byte(`.example","d":[{"id":"i-","born":177,"x":true` +
	`{"a":"10.0.0.1:7420","i":1770000000000,"n":1,"z":"","s":"","u":{"ID":"i-","Born":1770000000000},"st":2,"sl":6,"c":3000}`)

// packRecords encodes records as sequences of JSON values that are compressed (RFC 1951), each of
// which fits one datagram body. A record that alone does not fit a datagram is left out. Such a
// record is exchanged over connections only.
func packRecords(records []Record) [][]byte {
	if len(records) == 0 {
		return nil
	}
	body, err := deflateRecords(records)
	if err == nil && len(body) <= maxDatagramBody {
		return [][]byte{body}
	}
	if len(records) == 1 {
		return nil
	}
	half := len(records) / 2
	return append(packRecords(records[:half]), packRecords(records[half:])...)
}

func deflateRecords(records []Record) ([]byte, error) {
	var plain, compressed bytes.Buffer
	encoder := json.NewEncoder(&plain)
	for i := range records {
		if err := encoder.Encode(&records[i]); err != nil {
			return nil, err
		}
	}
	err := flate.StatelessDeflate(&compressed, plain.Bytes(), true, packDictionary)
	return compressed.Bytes(), err
}

// inflaterPool reuses decompressors, which are large.
var inflaterPool = sync.Pool{New: func() any { return flate.NewReaderDict(bytes.NewReader(nil), packDictionary) }}

// unpackRecords decodes a datagram body that packRecords made. It returns the records that precede
// the first malformed or truncated one.
func unpackRecords(body []byte) []Record {
	r := inflaterPool.Get().(io.Reader)
	defer inflaterPool.Put(r)
	if r.(flate.Resetter).Reset(bytes.NewReader(body), packDictionary) != nil {
		return nil
	}
	var records []Record
	d := json.NewDecoder(io.LimitReader(r, maxUnpackedBytes))
	for {
		var rec Record
		if d.Decode(&rec) != nil {
			return records
		}
		records = append(records, rec)
	}
}
