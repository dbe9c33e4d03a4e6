/** Branded type of a profile name. */
import type {Brand} from './brand.js';

/** Name of a profile that operators publish. */
export type ProfileName = Brand<string, 'ProfileName'>;
