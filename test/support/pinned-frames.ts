/** Frames of the pool with one message, and their bytes in the present layout and in former ones. */
import type {TaskId} from '../../src/base/task-id.js';
import type {PoolFrame} from '../../src/features/pool/pool-frame.js';

/** The bytes are CBOR as hexadecimal digits. */
type PinnedFrame = {readonly frame: PoolFrame; readonly bytes: string};

const frame: PoolFrame = {
	epoch: {losses: 2, pauses: 1},
	acknowledgedEpoch: {losses: 0, pauses: 3},
	messages: [{
		kind: 'stop', task: 'job.0.0.0' as TaskId, attempt: 1, cause: 'over', unreadMilliseconds: undefined,
	}],
	sentAt: 4711,
	skippedMilliseconds: 0,
	readingDelayMilliseconds: 0,
};

export const presentFrames: readonly PinnedFrame[] = [
	{frame, bytes: '8602010003818405696a6f622e302e302e3001646f766572191267'},
	{frame: {...frame, skippedMilliseconds: 12}, bytes: '8702010003818405696a6f622e302e302e3001646f7665721912670c'},
	{frame: {...frame, readingDelayMilliseconds: 34}, bytes: '8802010003818405696a6f622e302e302e3001646f766572191267001822'},
];

/** As encoded by the commits that are named, and as the present decoder has to read them. */
export const formerFrames: Readonly<Record<string, PinnedFrame>> = {
	'454fc6b and 6201bf4, without the time of sending': {frame: {...frame, sentAt: undefined}, bytes: '8502010003818405696a6f622e302e302e3001646f766572'},
	'483f016 and f18a795': {frame, bytes: '8602010003818405696a6f622e302e302e3001646f766572191267'},
};

/** The same message as encoded by 75e4287, before frames had epochs. */
export const frameWithoutEpochs = '818405696a6f622e302e302e3001646f766572';
