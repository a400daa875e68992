package quota

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// amountsPerToken is the number of units of amounts in messages that make up a token.
	amountsPerToken = 1e6
	// maxAmountPerMessage bounds the tokens in one message.
	maxAmountPerMessage = 4000
	// RequestBytes and ReplyBytes are the lengths of the encoded messages.
	RequestBytes = 21
	ReplyBytes   = 11
)

// Request asks a holder for tokens.
type Request struct {
	Account ID
	// Need is the number of tokens that requests wait for, Want the number asked for, at least Need.
	Need, Want float64
	// Refused counts the requests that the sender has refused since its last Request.
	Refused int
	// FromHolder is set if the sender is the holder of another zone. The receiver then does not borrow.
	FromHolder bool
	// ReturnedAgo is how long ago the sender began to regard the receiver as the holder again, after
	// another daemon had taken its place. Negative if no other daemon had.
	ReturnedAgo time.Duration
}

// Status states whether the receiver of a Request was able to decide.
type Status uint8

const (
	// Decided means that the receiver is the holder. It granted what it had.
	Decided Status = iota
	// NotHolder means that the receiver regards another daemon as the holder.
	NotHolder
	// UnknownAccount means that the configuration of the receiver does not have the account.
	UnknownAccount
	// Undecided means that the receiver has been the holder for too short a time to know, and that not all daemons
	// have answered it that may have tokens. It granted what it had.
	Undecided
)

// Reply answers a Request.
type Reply struct {
	Status  Status
	Granted float64
	// AskAgain is when the receiver may ask again if it was granted less than it needs.
	AskAgain time.Duration
	// RetryFirst and RetryLast are when the callers that are refused may return.
	RetryFirst, RetryLast time.Duration
}

// never is the encoding of a negative ReturnedAgo.
const never = math.MaxUint16

// returnedAgoUnit is the unit of ReturnedAgo in messages. Longer times than fit are sent as never: a bucket
// that has had ten minutes to fill is regarded as one that was never empty.
const returnedAgoUnit = 10 * time.Millisecond

func encodeAmount(v float64) uint32 {
	// The product of a whole number of tokens may come out slightly too small.
	const productError = 1e-6
	return uint32(math.Floor(min(amount(v), maxAmountPerMessage)*amountsPerToken + productError))
}

func decodeAmount(v uint32) float64 { return min(float64(v)/amountsPerToken, maxAmountPerMessage) }

func encodeCount(v int) uint16 { return uint16(min(max(v, 0), math.MaxUint16)) }

// AppendTo appends the encoded message to b.
func (r Request) AppendTo(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(r.Account))
	b = binary.BigEndian.AppendUint32(b, encodeAmount(r.Need))
	b = binary.BigEndian.AppendUint32(b, encodeAmount(r.Want))
	b = binary.BigEndian.AppendUint16(b, encodeCount(r.Refused))
	ago := uint16(never)
	if units := r.ReturnedAgo / returnedAgoUnit; r.ReturnedAgo >= 0 && units < never {
		ago = uint16(units)
	}
	b = binary.BigEndian.AppendUint16(b, ago)
	if r.FromHolder {
		return append(b, 1)
	}
	return append(b, 0)
}

// DecodeRequest decodes a Request, and reports whether b holds one.
func DecodeRequest(b []byte) (Request, bool) {
	if len(b) != RequestBytes {
		return Request{}, false
	}
	r := Request{
		Account: ID(binary.BigEndian.Uint64(b)),
		Need:    decodeAmount(binary.BigEndian.Uint32(b[8:])), Want: decodeAmount(binary.BigEndian.Uint32(b[12:])),
		Refused: int(binary.BigEndian.Uint16(b[16:])), ReturnedAgo: -1, FromHolder: b[20] == 1,
	}
	if ago := binary.BigEndian.Uint16(b[18:]); ago != never {
		r.ReturnedAgo = time.Duration(ago) * returnedAgoUnit
	}
	r.Want = max(r.Want, r.Need)
	return r, true
}

// AppendTo appends the encoded message to b.
func (r Reply) AppendTo(b []byte) []byte {
	b = append(b, byte(r.Status))
	b = binary.BigEndian.AppendUint32(b, encodeAmount(r.Granted))
	for _, d := range []time.Duration{r.AskAgain, r.RetryFirst, r.RetryLast} {
		b = binary.BigEndian.AppendUint16(b, encodeCount(int(d.Milliseconds())))
	}
	return b
}

// DecodeReply decodes a Reply, and reports whether b holds one.
func DecodeReply(b []byte) (Reply, bool) {
	if len(b) != ReplyBytes {
		return Reply{}, false
	}
	milliseconds := func(at int) time.Duration {
		return time.Duration(binary.BigEndian.Uint16(b[at:])) * time.Millisecond
	}
	return Reply{
		Status: Status(b[0]), Granted: decodeAmount(binary.BigEndian.Uint32(b[1:])),
		AskAgain: milliseconds(5), RetryFirst: milliseconds(7), RetryLast: milliseconds(9),
	}, true
}

// Outgoing is a message to send. Exactly one of Request and Reply is set.
type Outgoing struct {
	To string
	// Exchange identifies the Request that a Reply answers, among those of the sender of the Request.
	Exchange uint32
	Request  *Request
	Reply    *Reply
}

// Member is a daemon as the local daemon knows it.
type Member struct {
	Address string
	Zone    model.AvailabilityZone
	State   MemberState
	// SilentSince is since when a Silent member has not been reachable.
	SilentSince model.Instant
}

// MemberState states whether a daemon can hold shares.
type MemberState uint8

const (
	// Reachable members answer, as far as is known.
	Reachable MemberState = iota
	// Silent members do not answer, or refuse connections. They may be alive on the other side of a cut.
	Silent
	// Gone members have said that they are stopping and do not answer any more. They hold no shares.
	Gone
	// Stopping members answer until they end. They hold no shares any more, but give the new holders
	// what their buckets have.
	Stopping
)
