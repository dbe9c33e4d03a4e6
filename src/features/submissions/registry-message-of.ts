/** One kind of the registry's messages. */
import type {RegistryMessage} from './registry-message.js';

/** The message of a kind; see the schema for what it means. */
export type RegistryMessageOf<Kind extends RegistryMessage['kind']> = Extract<RegistryMessage, {kind: Kind}>;
