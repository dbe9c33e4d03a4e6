/** Non-cryptographic hash of strings. */
import createHasher from 'xxhash-wasm';

const {h32} = await createHasher();

/** The 32-bit xxHash of a string; identical on all machines. */
export function hashText(text: string): number {
	return h32(text);
}
