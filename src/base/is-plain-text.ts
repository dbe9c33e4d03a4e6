/** Texts that survive UTF-8. */

const byteOrderMark = '\uFEFF';

/**
 * Whether a text is the same after it was encoded as UTF-8 and decoded by any decoder: encoders replace unpaired surrogates, and
 * some decoders drop a leading byte order mark.
 */
export function isPlainText(text: string): boolean {
	return !text.startsWith(byteOrderMark) && text.isWellFormed();
}
