package member

// typicalRecordBytes is about what a record takes when encoded, in bytes. It decides
// only how many are tried first.
const typicalRecordBytes = 32

// ApplyAll takes in records and returns how many won.
func (d *Directory) ApplyAll(r Records) int {
	won := 0
	for _, e := range r.Events {
		if d.Apply(e) {
			won++
		}
	}
	for _, l := range r.Lives {
		if d.ApplyLiveness(l) {
			won++
		}
	}
	return won
}

// Digest summarises the records.
func (d *Directory) Digest() []byte {
	b := d.events.appendDigest(make([]byte, 0, 2*tableDigestSize))
	return d.lives.appendDigest(b)
}

// Delta returns what the holder of a digest may lack, in at most limit bytes,
// or nil. A quarter of the room goes to the newest records. The rest goes to
// the others in turn, from one call to the next: a bucket differs until its
// last record is there, so the newest alone would be sent over and over.
func (d *Directory) Delta(digest []byte, limit int) []byte {
	if len(digest) != 2*tableDigestSize {
		return nil
	}
	events := d.events.differing(digest[:tableDigestSize])
	lives := d.lives.differing(digest[tableDigestSize:])
	for n := max(1, limit/typicalRecordBytes); n > 0 && len(events)+len(lives) > 0; n /= 2 {
		r := Records{Events: selectRotating(events, n, d.deltaCursor), Lives: selectRotating(lives, n, d.deltaCursor)}
		if data := r.Encode(); len(data) <= limit {
			d.deltaCursor += n
			return data
		}
	}
	return nil
}

// selectRotating returns at most n records: the first quarter of them from the front,
// the others from where turn points to.
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
