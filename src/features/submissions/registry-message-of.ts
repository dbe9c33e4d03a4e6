/** Selects a registry message type by its kind. */
import type {RegistryMessage} from './registry-message.js';

/** The registry message of the given kind. */
export type RegistryMessageOf<Kind extends RegistryMessage['kind']> = Extract<RegistryMessage, {kind: Kind}>;
