package config

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/errs"
)

// Error is the class of errors about configuration.
var Error = errs.Class("config")

const (
	dictionaryID = 1
	// MaxValueBytes is the size limit of a section. The platform stores values up to 1 MB; the margin keeps a section
	// usable if it grows past that limit.
	MaxValueBytes  = 4 << 20
	minWindowBytes = 64 << 10
)

// Checksum returns the xxhash64 of a section value.
func Checksum(value []byte) uint64 {
	return xxhash.Sum64(value)
}

// Diff returns the diff that Patch needs to turn base into target: target compressed by zstd with base as a raw
// dictionary. It preserves every byte and stays small, unlike a JSON merge patch, which replaces entire arrays.
func Diff(base, target []byte) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil,
		zstd.WithEncoderDictRaw(dictionaryID, base),
		zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithWindowSize(windowSize(len(base)+len(target))),
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderCRC(false))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	diff := encoder.EncodeAll(target, nil)
	return diff, Error.Wrap(encoder.Close())
}

// Patch applies a diff to base. It fails if the diff is malformed or the result is too large. The caller must verify
// the checksum of the result, because a wrong base can yield a wrong value without an error.
func Patch(base, diff []byte) ([]byte, error) {
	decoder, err := zstd.NewReader(nil,
		zstd.WithDecoderDictRaw(dictionaryID, base),
		zstd.WithDecoderMaxMemory(MaxValueBytes),
		zstd.WithDecoderMaxWindow(uint64(windowSize(2*MaxValueBytes))),
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(diff, nil)
	if err != nil {
		return nil, Error.New("diff does not apply: %v", err)
	}
	return value, nil
}

// windowSize returns the smallest power of two above size, but at least minWindowBytes.
func windowSize(size int) int {
	return max(minWindowBytes, 1<<bits.Len(uint(size)))
}
