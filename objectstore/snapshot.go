package objectstore

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Format is the version of the snapshot container's format. Decode refuses other versions.
const Format = 1

// The container consists of 4 bytes magic, 2 bytes format, 8 bytes sequence, 8 bytes length of the
// payload, the payload, and 8 bytes XXH64 of all bytes before. Numbers are big-endian.
const (
	magic         = "HYSN"
	headerBytes   = 4 + 2 + 8 + 8
	checksumBytes = 8
)

// Sequence is the number of a snapshot within its series. A higher one is newer.
type Sequence uint64

// Snapshot is the payload of a snapshot with its sequence number.
type Snapshot struct {
	Sequence Sequence
	Payload  []byte
}

// Encode returns the snapshot's container.
func Encode(snapshot Snapshot) []byte {
	data := make([]byte, 0, headerBytes+len(snapshot.Payload)+checksumBytes)
	data = append(data, magic...)
	data = binary.BigEndian.AppendUint16(data, Format)
	data = binary.BigEndian.AppendUint64(data, uint64(snapshot.Sequence))
	data = binary.BigEndian.AppendUint64(data, uint64(len(snapshot.Payload)))
	data = append(data, snapshot.Payload...)
	return binary.BigEndian.AppendUint64(data, xxhash.Sum64(data))
}

// Decode returns the snapshot in a container, or ErrBadSnapshot. Name is used in the error only. The
// payload shares memory with data.
func Decode(name Name, data []byte) (Snapshot, error) {
	if len(data) < headerBytes+checksumBytes {
		return Snapshot{}, ErrBadSnapshot{Name: name, Reason: fmt.Sprintf("only %d bytes", len(data))}
	}
	if string(data[:4]) != magic {
		return Snapshot{}, ErrBadSnapshot{Name: name, Reason: "not a snapshot container"}
	}
	if format := binary.BigEndian.Uint16(data[4:]); format != Format {
		return Snapshot{}, ErrBadSnapshot{Name: name, Reason: fmt.Sprintf("format %d, not %d", format, Format)}
	}
	length := binary.BigEndian.Uint64(data[14:])
	if payloadBytes := uint64(len(data) - headerBytes - checksumBytes); length != payloadBytes {
		return Snapshot{}, ErrBadSnapshot{Name: name, Reason: fmt.Sprintf("payload of %d bytes, not %d", payloadBytes, length)}
	}
	checksumOffset := len(data) - checksumBytes
	if xxhash.Sum64(data[:checksumOffset]) != binary.BigEndian.Uint64(data[checksumOffset:]) {
		return Snapshot{}, ErrBadSnapshot{Name: name, Reason: "checksum differs"}
	}
	return Snapshot{
		Sequence: Sequence(binary.BigEndian.Uint64(data[6:])),
		Payload:  data[headerBytes:checksumOffset],
	}, nil
}
