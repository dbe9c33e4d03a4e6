/** The branded type of a instance id. */
import type {Brand} from './brand.js';

/** Identifier of a running instance, entry or worker, as the instance list gives it. */
export type InstanceId = Brand<string, 'InstanceId'>;
