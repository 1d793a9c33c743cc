package peer_test

import (
	"bytes"
	"reflect"
	"testing"
	"testing/iotest"
	"time"

	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/usage"
)

// fuzzLimit is larger than the first buffer of a frame, so that larger ones grow it.
const fuzzLimit = 1 << 15

// FuzzDecodeInPieces guards against frames that end the process, that are read beyond their limit, that
// are read differently when they arrive in pieces, and that change when they are passed on.
func FuzzDecodeInPieces(f *testing.F) {
	for _, frame := range []peer.Frame{
		{Hello: &peer.Hello{Host: "h", Nonce: []byte{1}, Proof: []byte{2}}},
		{Heartbeat: &peer.Heartbeat{Sheet: 3, StoreAgeMs: 20}, ConnectionDemand: map[string]int{"m": 4}},
		{PermitRequest: &peer.PermitRequest{ID: 1, Database: "d", Rank: 2, TimeLeft: time.Second}},
		{CapAsk: &peer.CapAsk{Ask: usage.Ask{ID: 1, Tokens: map[string]uint32{"c": 3}}}},
		{Cancel: &peer.Cancel{SecretKey: bytes.Repeat([]byte("k"), 5000)}},
		{Relay: true},
	} {
		raw, err := peer.Encode(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
		f.Add(raw[:len(raw)-1])
	}
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		frame, err := peer.Decode(bytes.NewReader(raw), fuzzLimit)
		pieces, piecesErr := peer.Decode(iotest.OneByteReader(bytes.NewReader(raw)), fuzzLimit)
		if (err == nil) != (piecesErr == nil) || (err == nil && !reflect.DeepEqual(frame, pieces)) {
			t.Fatalf("in pieces: got %+v and %v, want %+v and %v", pieces, piecesErr, frame, err)
		}
		if err != nil {
			return
		}
		again, err := peer.Encode(frame)
		if err != nil {
			t.Fatalf("a frame that was decoded cannot be encoded: %v", err)
		}
		if _, err := peer.Decode(bytes.NewReader(again), peer.MaxFrame); err != nil {
			t.Fatalf("a frame that was encoded cannot be decoded: %v", err)
		}
	})
}
