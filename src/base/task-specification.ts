/** One unit of work of a job. */
import type {JsonValue} from './json-value.js';

/** A task as the caller submitted it. */
export type TaskSpecification = {
	/** Given to the target as it is. */
	readonly payload: JsonValue;
	/** The caller's guess of the run time; often far off. */
	readonly declaredMilliseconds?: number;
	readonly memoryMegabytes?: number;
	readonly accelerators?: number;
};
