/** Releasable resources. */

/** Holds a resource until its owner disposes of it. */
export type Disposable = {
	/** Releases the resource. Idempotent; does not throw. */
	dispose(): void;
};
