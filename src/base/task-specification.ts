/** Specification of one task. */
import type {JsonValue} from './json-value.js';

/** A task as the caller submitted it. */
export type TaskSpecification = {
	/** Forwarded to the target unchanged. */
	readonly payload: JsonValue;
	/** The caller's estimate of the run time in milliseconds; often inaccurate. */
	readonly declaredMilliseconds?: number;
	readonly memoryMegabytes?: number;
	readonly accelerators?: number;
};
