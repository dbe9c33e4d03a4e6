/** Texts that codecs tend to change. */
import * as fc from 'fast-check';

const byteOrderMark = '\uFEFF';
const [highSurrogate, lowSurrogate] = ['\uD83D', '\uDE00'];
/** Around the lengths at which codecs change their way, and the longest payload. */
const lengths = [0, 1, 2, 15, 16, 17, 31, 32, 63, 64, 65, 66, 255, 256, 4000];

const unit = fc.oneof(
	{weight: 8, arbitrary: fc.constantFrom('a', ' ', '"', '\\', '\0', '\u0085', '\u00E9', '\u0301', '\u2028', '\uFFFD', '\uFFFE', '\u4E2D', '\u{1F600}')},
	{weight: 4, arbitrary: fc.string({unit: 'binary', minLength: 1, maxLength: 1})},
	{weight: 1, arbitrary: fc.constantFrom(byteOrderMark, highSurrogate, lowSurrogate)},
);
const edge = fc.constantFrom('', '', byteOrderMark, byteOrderMark.repeat(2), highSurrogate, lowSurrogate, lowSurrogate + highSurrogate, byteOrderMark + lowSurrogate);
const middle = fc.oneof(
	fc.array(unit, {maxLength: 80}).map(units => units.join('')),
	fc.tuple(fc.constantFrom('a', '\u4E2D', '\u{1F600}'), fc.constantFrom(...lengths)).map(([repeated, length]) => repeated.repeat(length)),
);

/** Texts of up to about 4,000 characters, many of which begin or end with a byte order mark or an unpaired surrogate. */
export const exactTextArbitrary: fc.Arbitrary<string> = fc.tuple(edge, middle, edge).map(parts => parts.join(''));
