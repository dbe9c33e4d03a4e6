/** Branded type of an instance id. */
import type {Brand} from './brand.js';

/** Identifier of an entry or worker instance, as in the instance list. */
export type InstanceId = Brand<string, 'InstanceId'>;
