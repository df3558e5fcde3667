package coapwire

import "github.com/plgd-dev/go-coap/v3/message"

// BERTBlockSize is the size, in bytes, of the blocks that a Block option numbers if it uses BERT (RFC 8323, section 6).
const BERTBlockSize = 1024

// Layout of the value of a Block option (RFC 7959, section 2.2): the block number, the flag "more", and the size exponent.
const (
	sizeExponentMask = 0x7
	sizeExponentBERT = 7
	moreFlag         = 0x8
	numberShift      = 4
	maxBlockNumber   = 1<<20 - 1
	minBlockSize     = 16
	maxBlockLength   = 3 // maximum length of the value in bytes
)

// Block is the value of a Block1 or Block2 option. It says which part of a body a message carries or requests.
type Block struct {
	Offset int  // start of the part in the body, in bytes
	Size   int  // block size in bytes; with BERT, a part may hold several blocks of this size
	More   bool // further parts follow this one
	BERT   bool // the part uses Block-wise Extension for Reliable Transport
}

// DecodeBlock decodes the value of a Block option. It returns false if the value is too long.
func DecodeBlock(encoded []byte) (Block, bool) {
	value, ok := DecodeUint(encoded)
	if !ok || len(encoded) > maxBlockLength {
		return Block{}, false
	}
	exponent := value & sizeExponentMask
	block := Block{
		More: value&moreFlag != 0,
		Size: minBlockSize << exponent,
		BERT: exponent == sizeExponentBERT,
	}
	if block.BERT {
		block.Size = BERTBlockSize
	}
	block.Offset = int(value>>numberShift) * block.Size
	return block, true
}

// Option encodes the block as an option with the given ID, which is Block1 or Block2. Size must be a power of two from 16 to 1024.
func (b Block) Option(id message.OptionID) message.Option {
	exponent := uint32(sizeExponentBERT)
	if !b.BERT {
		exponent = 0
		for minBlockSize<<exponent < b.Size {
			exponent++
		}
	}
	value := uint32(min(b.Offset/b.Size, maxBlockNumber))<<numberShift | exponent
	if b.More {
		value |= moreFlag
	}
	return UintOption(id, value)
}
