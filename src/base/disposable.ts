/** Ownership of resources. */

/** Something that holds a resource until its owner disposes of it; disposing twice does nothing. */
export type Disposable = {
	/** Releases the resource. Idempotent, and doesn't throw. */
	dispose(): void;
};
