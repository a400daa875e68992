package claims

import (
	"bytes"
	"encoding/gob"
	"errors"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// ErrHandover is returned for a handover that cannot be imported.
var ErrHandover = errors.New("handover rejected")

const (
	handoverVersion = 1
	// partBytes is the approximate maximum size of one part of a handover.
	partBytes = 1 << 20
	// claimBytes is the approximate size of a claim without its answer.
	claimBytes = 128
)

// handover is one part of the table that a sealed owner sends to its successor.
// It is encoded with gob, which writes out the names of the types and fields, so
// these names must not be changed.
type handover struct {
	Version int
	// Lives describes the sending owner and each earlier owner whose claims the
	// sender holds, by incarnation. It is set only in the last part, so that the
	// successor does not use the claims before it has all of them.
	Lives  map[uint64]earlier
	Claims []handedClaim
}

// earlier describes an earlier owner whose claims a table holds.
type earlier struct {
	// Floor is the timestamp below which claims may have been deleted.
	Floor Stamp
	// Until is the end of the earlier owner's last interval. Once the table's own
	// floor has reached it, the table need not know the earlier owner any longer.
	Until Stamp
}

// handedClaim is a claim in a handover.
type handedClaim struct {
	Caller   model.CallerName
	Key      Key
	Group    model.GroupName
	Digest   Digest
	Answered bool
	Answer   *Answer
}

// Seal permanently stops the table from accepting submissions.
func (t *Table) Seal() { t.sealed = true }

// IsSealed reports whether Seal has been called.
func (t *Table) IsSealed() bool { return t.sealed }

// Export returns the contents of the sealed table for a successor, in parts that
// must be imported in order. The outcome of a claim whose request is still
// running is exported as unknown.
func (t *Table) Export(l *Ledger) ([][]byte, error) {
	if !t.sealed {
		panic("claims: export of a table that is not sealed")
	}
	var parts [][]byte
	h := handover{Version: handoverVersion}
	size := 0
	for _, c := range t.byStamp {
		if c.state == running && t.mutation == omitRunningClaims {
			continue
		}
		h.Claims = append(h.Claims, c.export())
		size += claimBytes + c.size
		if size < partBytes {
			continue
		}
		part, err := h.encode()
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
		h.Claims, size = h.Claims[:0], 0
	}
	h.Lives = t.exportOwners(l)
	last, err := h.encode()
	return append(parts, last), err
}

// export returns the claim in the form used by a handover.
func (c *claim) export() handedClaim {
	return handedClaim{
		Caller: c.id.Caller, Key: c.id.Key, Group: c.group, Digest: c.digest,
		Answered: c.state == answered, Answer: c.answer,
	}
}

func (h *handover) encode() ([]byte, error) {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(h)
	return b.Bytes(), err
}

// exportOwners describes this owner and the earlier owners whose claims are part
// of the handover, by incarnation.
func (t *Table) exportOwners(l *Ledger) map[uint64]earlier {
	owners := make(map[uint64]earlier, len(t.priorOwners)+1)
	for incarnation, e := range t.priorOwners {
		e.Floor = max(e.Floor, t.exportFloor())
		owners[incarnation] = e
	}
	owners[t.self.Incarnation] = earlier{Floor: t.floor, Until: l.OwnedUntil(t.self.Incarnation)}
	return owners
}

// exportFloor returns the lowest floor with which an earlier owner is exported. It
// is this table's own floor, because this table may have deleted claims of the
// earlier owners itself.
func (t *Table) exportFloor() Stamp {
	if t.mutation == omitExportFloor {
		return 0
	}
	return t.floor
}

// Import adds one part of a sealed owner's table. The claims take effect once all
// parts are imported and the Transfer is on the log. If the importing table is
// itself sealed, or has no capacity for all claims of the part, Import returns
// ErrHandover and adds none of them.
func (t *Table) Import(data []byte) error {
	var h handover
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&h); err != nil {
		return errors.Join(ErrHandover, err)
	}
	full := len(t.claims)+len(h.Claims) > t.limits.Claims || len(t.priorOwners)+len(h.Lives) > maxPriorOwners
	if h.Version != handoverVersion || t.sealed || full {
		return ErrHandover
	}
	for _, hc := range h.Claims {
		t.importClaim(hc)
	}
	for incarnation, e := range h.Lives {
		known := t.priorOwners[incarnation]
		t.priorOwners[incarnation] = earlier{Floor: max(e.Floor, known.Floor), Until: max(e.Until, known.Until)}
	}
	return nil
}

// importClaim adds a claim from a handover unless the key already has a claim.
func (t *Table) importClaim(hc handedClaim) {
	id := ID{Caller: hc.Caller, Key: hc.Key}
	if t.claims[id] != nil {
		return
	}
	c := &claim{id: id, group: hc.Group, digest: hc.Digest, state: outcomeUnknown}
	t.insert(c)
	if !hc.Answered {
		return
	}
	c.state = answered
	if hc.Answer != nil {
		t.answers.retain(c, hc.Answer)
	}
}
