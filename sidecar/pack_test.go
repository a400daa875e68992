package sidecar

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
)

// sampleRecords returns n records like those of a deployment with two services in five zones.
func sampleRecords(n int) []Record {
	out := make([]Record, n)
	for i := range out {
		out[i] = Record{
			Address:     fmt.Sprintf("10.%d.0.%d:7420", 1+i%5, 10+i/5),
			Incarnation: 1772588904000 + int64(i*7919%3000), Sequence: uint64(2 + i%4),
			Zone: model.AvailabilityZone(fmt.Sprint("odense-hal-", i%5)), Service: model.ServiceName(fmt.Sprint("dahu75", i%2)),
			Upstream: lifecycle.Incarnation{ID: model.UpstreamID(fmt.Sprintf("i-%010x", i*2654435761)), Born: 1772588901000 + int64(i*104729%3000)},
			State:    lifecycle.Ready, Slots: 6,
		}
	}
	return out
}

// TestPackedRecordsAreCompressed packs and unpacks records. It bounds the ratio of their packed size
// to the size of their JSON. Unpacking must return the same records.
func TestPackedRecordsAreCompressed(t *testing.T) {
	for name, c := range map[string]struct {
		numRecords int
		maxRatio   float64
	}{
		"one record":            {1, 0.62},
		"nine records":          {9, 0.50},
		"sixty records":         {60, 0.45},
		"three hundred records": {300, 0.45},
	} {
		t.Run(name, func(t *testing.T) {
			records := sampleRecords(c.numRecords)
			plainBytes, packedBytes := 0, 0
			for i := range records {
				b, err := json.Marshal(&records[i])
				require.NoError(t, err)
				plainBytes += len(b)
			}
			var unpacked []Record
			for _, body := range packRecords(records) {
				require.LessOrEqual(t, len(body), maxDatagramBody)
				packedBytes += len(body)
				unpacked = append(unpacked, unpackRecords(body)...)
			}
			require.Equal(t, records, unpacked)
			require.LessOrEqual(t, float64(packedBytes), c.maxRatio*float64(plainBytes), "%d of %d bytes", packedBytes, plainBytes)
		})
	}
}

// TestOversizedRecordsAreOmitted packs many records, one of which fits no datagram. Only that
// record may be left out.
func TestOversizedRecordsAreOmitted(t *testing.T) {
	records := sampleRecords(20)
	var longName strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&longName, "%x", i*2654435761)
	}
	records[7].Service = model.ServiceName(longName.String())
	var unpacked []Record
	for _, body := range packRecords(records) {
		unpacked = append(unpacked, unpackRecords(body)...)
	}
	require.Len(t, unpacked, len(records)-1)
	require.Empty(t, packRecords(nil))
}

// TestUnpackToleratesCorruptData checks that unpacking a corrupted or truncated body does not
// panic. An intact body must still unpack correctly afterwards, although decompressors are reused.
func TestUnpackToleratesCorruptData(t *testing.T) {
	body := packRecords(sampleRecords(5))[0]
	rapid.Check(t, func(t *rapid.T) {
		corrupted := append([]byte(nil), body...)
		corrupted[rapid.IntRange(0, len(body)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "flipped"))
		unpackRecords(corrupted[:rapid.IntRange(0, len(body)).Draw(t, "length")])
	})
	require.Equal(t, sampleRecords(5), unpackRecords(body))
}
