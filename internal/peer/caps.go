package peer

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"poplarrouter.example/poplarrouter/internal/usage"
)

// CapAsk asks the coordinator of a partition for tokens of its customers. It also delegates the
// sender's part of their usage caps to the coordinator. It is encoded as an array of compact
// integers, because it is sent often. The order of the fields is part of the wire protocol.
//
// A host that does not reach the coordinator sends the ask to another host, which passes it on.
type CapAsk struct {
	usage.Ask
	// Target is the host that the receiver passes the ask on to, or empty. Origin is the host
	// on whose behalf the sender has passed it on, or empty.
	Target string
	Origin string
}

// CapGrant answers a CapAsk, and is encoded likewise.
type CapGrant struct {
	usage.Grant
	// Target and Origin have the same meaning as those of an ask.
	Target string
	Origin string
}

var (
	_ msgpack.CustomEncoder = CapAsk{}
	_ msgpack.CustomDecoder = (*CapAsk)(nil)
	_ msgpack.CustomEncoder = CapGrant{}
	_ msgpack.CustomDecoder = (*CapGrant)(nil)
)

const (
	capAskFields   = 7
	capGrantFields = 5
	// routeFields are Target and Origin, which are left out if both are empty.
	routeFields = 2
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (a CapAsk) EncodeMsgpack(e *msgpack.Encoder) error {
	if err := encodeLen(e, capAskFields, a.Target, a.Origin); err != nil {
		return err
	}
	if err := encodeUints(e, a.ID, uint64(a.Boot), uint64(a.Partition)); err != nil {
		return err
	}
	if err := e.EncodeInt(a.Ticket); err != nil {
		return err
	}
	if err := encodeUints(e, uint64(a.Hosts)); err != nil {
		return err
	}
	if err := encodeTokens(e, a.Tokens); err != nil {
		return err
	}
	if err := encodeTokens(e, a.Again); err != nil {
		return err
	}
	return encodeRoute(e, a.Target, a.Origin)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (a *CapAsk) DecodeMsgpack(d *msgpack.Decoder) error {
	passedOn, err := decodeLen(d, capAskFields)
	if err != nil {
		return err
	}
	if err := d.DecodeMulti(&a.ID, &a.Boot, &a.Partition, &a.Ticket, &a.Hosts); err != nil {
		return err
	}
	if a.Tokens, err = decodeTokens(d); err != nil {
		return err
	}
	if a.Again, err = decodeTokens(d); err != nil {
		return err
	}
	if passedOn {
		err = d.DecodeMulti(&a.Target, &a.Origin)
	}
	return err
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (g CapGrant) EncodeMsgpack(e *msgpack.Encoder) error {
	if err := encodeLen(e, capGrantFields, g.Target, g.Origin); err != nil {
		return err
	}
	if err := encodeUints(e, g.ID, uint64(g.Partition)); err != nil {
		return err
	}
	if err := e.EncodeInt(g.Ticket); err != nil {
		return err
	}
	if err := encodeTokens(e, g.Tokens); err != nil {
		return err
	}
	if err := e.EncodeArrayLen(len(g.Beyond)); err != nil {
		return err
	}
	for _, name := range g.Beyond {
		if err := e.EncodeString(name); err != nil {
			return err
		}
	}
	return encodeRoute(e, g.Target, g.Origin)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (g *CapGrant) DecodeMsgpack(d *msgpack.Decoder) error {
	passedOn, err := decodeLen(d, capGrantFields)
	if err != nil {
		return err
	}
	if err := d.DecodeMulti(&g.ID, &g.Partition, &g.Ticket); err != nil {
		return err
	}
	if g.Tokens, err = decodeTokens(d); err != nil {
		return err
	}
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	for range n {
		name, err := d.DecodeString()
		if err != nil {
			return err
		}
		g.Beyond = append(g.Beyond, name)
	}
	if passedOn {
		err = d.DecodeMulti(&g.Target, &g.Origin)
	}
	return err
}

func encodeUints(e *msgpack.Encoder, values ...uint64) error {
	for _, v := range values {
		if err := e.EncodeUint(v); err != nil {
			return err
		}
	}
	return nil
}

// encodeLen encodes the number of fields, which includes the route if there is one.
func encodeLen(e *msgpack.Encoder, fields int, target, origin string) error {
	if target+origin != "" {
		fields += routeFields
	}
	return e.EncodeArrayLen(fields)
}

func encodeRoute(e *msgpack.Encoder, target, origin string) error {
	if target+origin == "" {
		return nil
	}
	return e.EncodeMulti(target, origin)
}

// decodeLen decodes the number of fields and reports whether they include the route.
func decodeLen(d *msgpack.Decoder, fields int) (passedOn bool, err error) {
	n, err := d.DecodeArrayLen()
	if err == nil && n != fields && n != fields+routeFields {
		return false, &FrameError{Got: fmt.Sprintf("%d fields", n), Want: fmt.Sprint(fields)}
	}
	return n > fields, err
}

func encodeTokens(e *msgpack.Encoder, tokens map[string]uint32) error {
	if err := e.EncodeMapLen(len(tokens)); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(tokens)) {
		if err := e.EncodeString(name); err != nil {
			return err
		}
		if err := e.EncodeUint(uint64(tokens[name])); err != nil {
			return err
		}
	}
	return nil
}

// decodeTokens does not allocate for the length that a frame claims, only for what it contains.
func decodeTokens(d *msgpack.Decoder) (map[string]uint32, error) {
	n, err := d.DecodeMapLen()
	if err != nil || n <= 0 {
		return nil, err
	}
	tokens := make(map[string]uint32)
	for range n {
		name, err := d.DecodeString()
		if err != nil {
			return nil, err
		}
		value, err := d.DecodeUint64()
		if err != nil {
			return nil, err
		}
		tokens[name] = uint32(min(value, math.MaxUint32)) //nolint:gosec // limited
	}
	return tokens, nil
}
