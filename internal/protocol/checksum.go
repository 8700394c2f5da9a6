package protocol

import "encoding/binary"

// checksumDelta accumulates the changes to the 16-bit words that an Internet
// checksum covers, so that the checksum can be updated incrementally, without
// reading the rest of the packet (RFC 1624, equation 3).
type checksumDelta uint64

// replaceWord adds the change of one 16-bit word.
func (d *checksumDelta) replaceWord(before, after uint16) {
	*d += checksumDelta(^before) + checksumDelta(after)
}

// replaceIP adds the change of an IPv4 address.
func (d *checksumDelta) replaceIP(before, after []byte) {
	d.replaceWord(binary.BigEndian.Uint16(before), binary.BigEndian.Uint16(after))
	d.replaceWord(binary.BigEndian.Uint16(before[2:]), binary.BigEndian.Uint16(after[2:]))
}

// update returns the checksum after the changes.
func (d checksumDelta) update(checksum uint16) uint16 {
	return ^fold(uint64(d) + uint64(^checksum))
}

// fold reduces a sum of 16-bit words to 16 bits with end-around carry.
func fold(sum uint64) uint16 {
	for sum > 0xffff {
		sum = sum>>16 + sum&0xffff
	}
	return uint16(sum)
}

// sumWords adds the 16-bit words of data; an odd last byte is padded with zero.
func sumWords(data []byte) uint64 {
	var sum uint64
	for len(data) >= 2 {
		sum += uint64(binary.BigEndian.Uint16(data))
		data = data[2:]
	}
	if len(data) == 1 {
		sum += uint64(data[0]) << 8
	}
	return sum
}

// updateChecksum applies the changes to the checksum stored in field.
func updateChecksum(field []byte, d checksumDelta) {
	binary.BigEndian.PutUint16(field, d.update(binary.BigEndian.Uint16(field)))
}

// updateUDPChecksum applies the changes to the UDP checksum stored in field. A zero
// checksum means that the sender computed none, so it is left as it is. A result of
// zero is stored as all ones (RFC 768).
func updateUDPChecksum(field []byte, d checksumDelta) {
	before := binary.BigEndian.Uint16(field)
	if before == 0 {
		return
	}
	after := d.update(before)
	if after == 0 {
		after = 0xffff
	}
	binary.BigEndian.PutUint16(field, after)
}
