/** A record on its way between registrars. */
import type {RegistryMessageOf} from './registry-message-of.js';

/** Carries the time that remains instead of a time of the sender's own clock; see the schema for its versions. */
export type RecordCopy = RegistryMessageOf<'copy'>['record'];
