/** A fast hash for placing ids on members. */
import createHasher from 'xxhash-wasm';

const {h32} = await createHasher();

/** 32 bits of xxHash; the same on every machine. */
export function hashText(text: string): number {
	return h32(text);
}
