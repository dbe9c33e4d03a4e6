/** Messages between the entries of a pool. */
import type {FencingToken} from '../../base/fencing-token.js';
import type {MemberId} from '../../base/member-id.js';
import type {TaskId} from '../../base/task-id.js';
import type {BacklogReport} from '../backlog/backlog-report.js';
import type {Handover} from '../execution/handover.js';
import type {TargetLoss} from '../execution/target-loss.js';
import type {RunOutcome} from '../execution/run-outcome.js';
import type {RunRequest} from '../execution/run-request.js';
import type {ListUpdate} from '../listing/list-update.js';
import type {ListRequest} from '../listing/list-request.js';
import type {RoutingConfiguration} from '../routing/routing-configuration.js';
import type {EntryState} from './entry-state.js';
import type {Mesh} from './mesh.js';
import type {PeerDescriptor} from './peer-descriptor.js';
import type {PeerEndpoint} from './peer-endpoint.js';

/** `state` is the periodic heartbeat. `handover` and `loss` are broadcast; all other kinds go to one peer. */
export type PoolMessage =
	/**
	 * `isForMonitor`: the receiver monitors the sender and has to report its loss to the zone. `mesh`: with a full one, the sender
	 * sends active heartbeats to all its peers. `backlog` is absent from most states.
	 */
	| {readonly kind: 'state'; readonly state: EntryState; readonly isForMonitor: boolean; readonly mesh: Mesh; readonly backlog?: BacklogReport | undefined}
	/** A peer that the sender monitors has timed out. */
	| {readonly kind: 'lost'; readonly member: MemberId}
	| {readonly kind: 'entries'; readonly entries: readonly PeerEndpoint[]}
	| {readonly kind: 'run'; readonly request: RunRequest}
	| {readonly kind: 'report'; readonly task: TaskId; readonly attempt: number; readonly outcome: RunOutcome}
	/** `unreadMilliseconds`: how long before the message the caller may have disconnected; absent if not known to be late. */
	| {readonly kind: 'stop'; readonly task: TaskId; readonly attempt: number; readonly cause: string; readonly unreadMilliseconds?: number | undefined}
	/** `requesters` describes the entries of the runs, which the new owner may never have connected to. */
	| {readonly kind: 'handover'; readonly handovers: readonly Handover[]; readonly requesters: readonly PeerDescriptor[]}
	/** `fence` is the sender's token for the run's target; absent from entries of former versions. */
	| {readonly kind: 'adopted'; readonly task: TaskId; readonly attempt: number; readonly fence?: FencingToken | undefined}
	/** Acknowledges `adopted`: the sender is still waiting for that run. */
	| {readonly kind: 'adoptionHeard'; readonly task: TaskId; readonly attempt: number}
	/** The state of a target, and the tasks that were lost with it. */
	| {readonly kind: 'loss'; readonly loss: TargetLoss}
	| {readonly kind: 'askList'; readonly request: ListRequest}
	| {readonly kind: 'list'; readonly update: ListUpdate}
	| {readonly kind: 'wantRouting'}
	| {readonly kind: 'routing'; readonly configuration: RoutingConfiguration};
