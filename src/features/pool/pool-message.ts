/** What entries of a pool say to each other. */
import type {MemberId} from '../../base/member-id.js';
import type {TaskId} from '../../base/task-id.js';
import type {Handover} from '../execution/handover.js';
import type {TargetLoss} from '../execution/target-loss.js';
import type {RunOutcome} from '../execution/run-outcome.js';
import type {RunRequest} from '../execution/run-request.js';
import type {ListUpdate} from '../listing/list-update.js';
import type {ListRequest} from '../listing/list-request.js';
import type {RoutingConfiguration} from '../routing/routing-configuration.js';
import type {NodeState} from './node-state.js';
import type {PeerDescriptor} from './peer-descriptor.js';
import type {PeerEndpoint} from './peer-endpoint.js';

/** `state` goes to all regularly and is each entry's heartbeat; the others are for one entry each, but for `handover` and `loss`. */
export type PoolMessage =
	/** `isForWatcher`: the receiver has to notice soon when the sender isn't heard any more, and to tell its zone. */
	| {readonly kind: 'state'; readonly state: NodeState; readonly isForMonitor: boolean}
	/** An entry that the sender watches over isn't heard any more. */
	| {readonly kind: 'lost'; readonly member: MemberId}
	| {readonly kind: 'entries'; readonly entries: readonly PeerEndpoint[]}
	| {readonly kind: 'run'; readonly request: RunRequest}
	| {readonly kind: 'report'; readonly task: TaskId; readonly attempt: number; readonly outcome: RunOutcome}
	| {readonly kind: 'stop'; readonly task: TaskId; readonly attempt: number; readonly cause: string}
	/** The next owner may never have met the entries of the runs. */
	| {readonly kind: 'handover'; readonly handovers: readonly Handover[]; readonly requesters: readonly PeerDescriptor[]}
	| {readonly kind: 'adopted'; readonly task: TaskId; readonly attempt: number}
	/** The receiver's word that it goes on with a run has come, and the sender waits for that run. */
	| {readonly kind: 'adoptionHeard'; readonly task: TaskId; readonly attempt: number}
	/** What became of a target and the tasks that were lost with it; it goes to all. */
	| {readonly kind: 'loss'; readonly loss: TargetLoss}
	| {readonly kind: 'askList'; readonly request: ListRequest}
	| {readonly kind: 'list'; readonly update: ListUpdate}
	| {readonly kind: 'wantRouting'}
	| {readonly kind: 'routing'; readonly configuration: RoutingConfiguration};
