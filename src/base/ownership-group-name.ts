/** The branded type of a ownership group name. */
import type {Brand} from './brand.js';

/** Name of a group of entries that share out the targets of one availability zone. */
export type OwnershipGroupName = Brand<string, 'OwnershipGroupName'>;
