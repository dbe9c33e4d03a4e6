/** What is read of the handshake of an entry with another version of the protocol. */
import * as z from 'zod';
import {protocolVersion} from './protocol-version.js';

/** A `hello` of another version; its other fields may differ. */
export const otherVersionSchema = z.object({kind: z.literal('hello'), version: z.int()}).refine(({version}) => version !== protocolVersion);
