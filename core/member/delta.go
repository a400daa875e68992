package member

// typicalRecordBytes is the approximate encoded size of a record. Delta uses it
// only for its first estimate of the number of records that fit.
const typicalRecordBytes = 32

// ApplyAll applies records and returns how many of them took effect. A record
// takes effect if it is the first for its id or takes precedence over the stored
// one.
func (d *Directory) ApplyAll(r Records) int {
	applied := 0
	for _, e := range r.Events {
		if d.Apply(e) {
			applied++
		}
	}
	for _, l := range r.Liveness {
		if d.ApplyLiveness(l) {
			applied++
		}
	}
	return applied
}

// Digest returns the bucket hashes of all events and liveness records, for
// comparison by Delta on another daemon.
func (d *Directory) Digest() []byte {
	b := d.events.appendDigest(make([]byte, 0, 2*tableDigestSize))
	return d.liveness.appendDigest(b)
}

// Delta returns encoded records that the sender of a digest may lack, in at most
// maxBytes. It returns nil if there are no such records, if none of them fits, or
// if the digest does not have the right length.
//
// If not all records fit, a quarter of the selected records are the newest ones. The
// others rotate through the remaining records from call to call. The rotation is
// needed because a bucket differs until its last record has arrived. If Delta
// selected only the newest records, every call would send the same records again.
func (d *Directory) Delta(digest []byte, maxBytes int) []byte {
	if len(digest) != 2*tableDigestSize {
		return nil
	}
	events := d.events.differing(digest[:tableDigestSize])
	liveness := d.liveness.differing(digest[tableDigestSize:])
	for n := max(1, maxBytes/typicalRecordBytes); n > 0 && len(events)+len(liveness) > 0; n /= 2 {
		r := Records{Events: selectRotating(events, n, d.deltaCursor), Liveness: selectRotating(liveness, n, d.deltaCursor)}
		if data := r.Encode(); len(data) <= maxBytes {
			d.deltaCursor += n
			return data
		}
	}
	return nil
}

// selectRotating returns at most n of the given records. It takes n/4 records from
// the front. It takes the others from the remaining records, starting at index start
// and wrapping around.
func selectRotating[V any](all []V, n, start int) []V {
	if len(all) <= n {
		return all
	}
	front := n / 4
	out := append([]V(nil), all[:front]...)
	rest := all[front:]
	for i := range n - front {
		out = append(out, rest[(start+i)%len(rest)])
	}
	return out
}
