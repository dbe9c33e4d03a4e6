/** Branded type of an ownership group name. */
import type {Brand} from './brand.js';

/** Name of a group of entries that divide the ownership of the targets in an availability zone. */
export type OwnershipGroupName = Brand<string, 'OwnershipGroupName'>;
