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
	// maxPartBytes is the approximate maximum size of one part of a handover.
	maxPartBytes = 1 << 20
	// claimBytes is the approximate size of a claim without its answer.
	claimBytes = 128
)

// handover is one part of the table that a sealed owner sends to its successor. It
// is encoded with gob. Gob writes out the names of the types and fields, so these
// names must not be changed.
type handover struct {
	Version int
	// Lives describes the sending owner and each earlier owner whose claims the
	// sender holds. Its keys are the incarnations of these owners. Lives is set only
	// in the last part. The successor therefore does not use the claims before it
	// has all of them.
	Lives  map[uint64]earlier
	Claims []handedClaim
}

// earlier describes an earlier owner whose claims a table holds.
type earlier struct {
	// Floor is the timestamp below which claims of the earlier owner may have been
	// deleted.
	Floor Stamp
	// Until is the end of the earlier owner's last interval. When the table's own
	// floor reaches Until, the table forgets the earlier owner, because all keys of
	// that owner have expired.
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

// Seal permanently stops the table from accepting submissions and handovers.
func (t *Table) Seal() { t.sealed = true }

// IsSealed reports whether Seal has been called.
func (t *Table) IsSealed() bool { return t.sealed }

// Export returns the contents of the table for a successor, in parts that must be
// imported in order. It panics if the table is not sealed. If the request of a
// claim is still running, the claim is exported with an unknown outcome.
func (t *Table) Export(l *Ledger) ([][]byte, error) {
	if !t.sealed {
		panic("claims: export of a table that is not sealed")
	}
	var parts [][]byte
	h := handover{Version: handoverVersion}
	partSize := 0
	for _, c := range t.byStamp {
		if c.state == running && t.mutation == omitRunningClaims {
			continue
		}
		h.Claims = append(h.Claims, c.export())
		partSize += claimBytes + c.answerSize
		if partSize < maxPartBytes {
			continue
		}
		part, err := h.encode()
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
		h.Claims, partSize = h.Claims[:0], 0
	}
	h.Lives = t.exportOwners(l)
	lastPart, err := h.encode()
	return append(parts, lastPart), err
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

// exportOwners returns the descriptions of this owner and of the earlier owners
// whose claims are part of the handover. The keys are their incarnations.
func (t *Table) exportOwners(l *Ledger) map[uint64]earlier {
	owners := make(map[uint64]earlier, len(t.priorOwners)+1)
	for incarnation, e := range t.priorOwners {
		e.Floor = max(e.Floor, t.exportFloor())
		owners[incarnation] = e
	}
	owners[t.self.Incarnation] = earlier{Floor: t.floor, Until: l.OwnedUntil(t.self.Incarnation)}
	return owners
}

// exportFloor returns the minimum for the floors of the earlier owners in a
// handover. The minimum is this table's own floor, because this table may itself
// have deleted claims of the earlier owners below its own floor.
func (t *Table) exportFloor() Stamp {
	if t.mutation == omitExportFloor {
		return 0
	}
	return t.floor
}

// Import adds one part of a sealed owner's table. The claims take effect when all
// parts have been imported and the Ledger has applied the Transfer. Import returns
// an error that wraps ErrHandover, and adds nothing, if the part is malformed or of
// another version, if the importing table is itself sealed, or if the table has no
// capacity for the whole part.
func (t *Table) Import(data []byte) error {
	var h handover
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&h); err != nil {
		return errors.Join(ErrHandover, err)
	}
	overLimit := len(t.claimsByID)+len(h.Claims) > t.limits.Claims || len(t.priorOwners)+len(h.Lives) > maxPriorOwners
	if h.Version != handoverVersion || t.sealed || overLimit {
		return ErrHandover
	}
	for _, hc := range h.Claims {
		t.importClaim(hc)
	}
	for incarnation, e := range h.Lives {
		stored := t.priorOwners[incarnation]
		t.priorOwners[incarnation] = earlier{Floor: max(e.Floor, stored.Floor), Until: max(e.Until, stored.Until)}
	}
	return nil
}

// importClaim adds a claim from a handover unless the key already has a claim.
func (t *Table) importClaim(hc handedClaim) {
	id := ID{Caller: hc.Caller, Key: hc.Key}
	if t.claimsByID[id] != nil {
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
