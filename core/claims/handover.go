package claims

import (
	"bytes"
	"encoding/gob"
	"errors"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// ErrHandover is returned for a handover that cannot be taken in.
var ErrHandover = errors.New("handover refused")

const (
	handoverVersion = 1
	// partBytes is about the size of one part, claimBytes that of a claim
	// without its answer.
	partBytes  = 1 << 20
	claimBytes = 128
)

// handover is a part of the table of a sealed owner on its way to the successor.
type handover struct {
	Version int
	// Lives tells about the owner, and each earlier one whose claims it holds.
	// It is set in the last part only, so that claims never count in part.
	Lives  map[uint64]earlier
	Claims []handedClaim
}

// earlier is what a table knows of an earlier owner whose claims it holds.
type earlier struct {
	// Floor is the stamp below which claims may have been dropped.
	Floor Stamp
	// Until is the end of the earlier owner's last interval. When the table's
	// own floor has reached it the earlier owner need not be known any more.
	Until Stamp
}

type handedClaim struct {
	Caller   model.CallerName
	Key      Key
	Group    model.GroupName
	Digest   Digest
	Answered bool
	Answer   *Answer
}

// Seal stops the table from taking submissions, for ever.
func (t *Table) Seal() { t.sealed = true }

// IsSealed reports whether Seal has been called.
func (t *Table) IsSealed() bool { return t.sealed }

// Export returns the sealed table for a successor, in parts that must be
// imported in order. A claim that is still being run is handed over as unknown.
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

// exportLives tells about this owner and the earlier ones whose claims it hands
// on.
func (t *Table) exportOwners(l *Ledger) map[uint64]earlier {
	owners := make(map[uint64]earlier, len(t.priorOwners)+1)
	for incarnation, e := range t.priorOwners {
		e.Floor = max(e.Floor, t.exportFloor())
		owners[incarnation] = e
	}
	owners[t.self.Life] = earlier{Floor: t.floor, Until: l.Reach(t.self.Life)}
	return owners
}

// exportFloor is the least floor of the earlier owners' claims that it hands on:
// it may have dropped some of those itself.
func (t *Table) exportFloor() Stamp {
	if t.mutation == omitExportFloor {
		return 0
	}
	return t.floor
}

// Import takes in one part of the table of a sealed owner. The claims count once
// all parts are in and the log has the Transfer. A table that is sealed itself,
// or has no room for the claims, refuses the part whole.
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
		t.answers.put(c, hc.Answer)
	}
}
